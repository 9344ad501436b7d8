// Servers are lost and clients leave: requests that may run once only are sent to further servers after their client has left.
import {setTimeout as sleep} from 'node:timers/promises';
import {ClientConnection} from '../shared/client.js';
import {hasTrouble, nowMs, record} from '../shared/record.js';
import {runCase} from '../shared/run-case.js';
import {startServer} from '../shared/server.js';
import {startSilentServer} from '../shared/silent-server.js';

const SERVERS = 16;
const LOST = 2;
const WORK_MS = 200;
const REQUESTS = 144;
const GAP_MS = 30;
const PATIENCE_MS = 400;
const LATE_MS = 500;
const MAX_LATE = 5;
/** A lost server's entry stays for three heartbeats; requests are sent meanwhile. */
const SETTLE_MS = 3500;

async function play(deployment) {
	await deployment.start({timeoutSeconds: 4});
	const executions = [];
	for (let index = 0; index < SERVERS; index += 1) {
		const isLost = hasTrouble && index < LOST;
		const name = `server-${index}`;
		const server = isLost ? await startSilentServer({deployment}) : deployment.own(await startServer({name, executions, workMs: WORK_MS}));
		deployment.register({
			name, port: server.port, zone: index % 2 === 0 ? 'north-a' : 'north-b', slots: 3,
		});
	}

	const gateways = [];
	for (const zone of ['north-a', 'north-b', 'north-a', 'north-b']) {
		gateways.push(await deployment.startGateway({zone}));
	}

	await sleep(SETTLE_MS);
	const clients = [];
	for (let index = 0; index < REQUESTS; index += 1) {
		const client = new ClientConnection({name: `client-${index}`, gateway: gateways[index % gateways.length]});
		client.id = `request-${index}`;
		client.send({
			id: client.id, method: 'POST', path: '/write/x', object: `object-${index}`, body: 'x', deadlineMs: 4000,
		});
		setTimeout(() => {
			if (client.answers.length === 0 && client.endedAtMs === undefined) {
				client.giveUp();
				client.leftAtMs = nowMs();
			}
		}, PATIENCE_MS);
		clients.push(client);
		await sleep(GAP_MS);
	}

	await sleep(5000);
	const left = clients.filter(({leftAtMs}) => leftAtMs !== undefined);
	const late = executions.filter(({id, atMs}) => left.some(client => client.id === id && atMs > client.leftAtMs + LATE_MS));
	record('judged', {left: left.length, late: late.map(({id}) => id).join(',') || '-'});
	return {
		isBroken: late.length > MAX_LATE,
		verdict: `${left.length} clients left and ${late.length} of their requests reached a server over ${LATE_MS} ms later`,
	};
}

await runCase({folder: import.meta.dirname, play});
