// Clients pipeline two reads on kept connections while the gateway is stopped as planned.
import {setTimeout as sleep} from 'node:timers/promises';
import {ClientConnection} from '../shared/client.js';
import {isMetWithin, until} from '../shared/deployment.js';
import {hasTrouble, nowMs, record} from '../shared/record.js';
import {runCase} from '../shared/run-case.js';
import {startServer} from '../shared/server.js';

const CLIENTS = 8;
const WORK_MS = 600;
/** Time from the signal to the pipelined requests, in milliseconds. */
const AFTER_SIGNAL_MS = 500;
/** The client sends its second request this long after the first, in milliseconds. */
const PIPELINE_GAP_MS = 100;
const ANSWER_TIMEOUT_MS = 5000;

async function play(deployment) {
	await deployment.start();
	const executions = [];
	for (let index = 0; index < 6; index += 1) {
		const server = deployment.own(await startServer({name: `server-${index}`, executions, workMs: WORK_MS}));
		deployment.register({name: server.name, port: server.port, zone: index % 2 === 0 ? 'north-a' : 'north-b'});
	}

	const gateway = await deployment.startGateway({zone: 'north-a'});
	await deployment.startGateway({zone: 'north-b'});
	await deployment.startGateway({zone: 'south-a'});
	// The machine is in touch before anything is judged.
	await sleep(3500);

	const clients = Array.from({length: CLIENTS}, (_, index) => new ClientConnection({name: `client-${index}`, gateway}));
	for (const [index, client] of clients.entries()) {
		client.send({id: `kept-${index}`, object: `object-${index}`});
	}

	await until({condition: () => clients.every(({answers}) => answers.length === 1), name: 'each client has its first answer'});
	const signalledAtMs = nowMs();
	if (hasTrouble) {
		record('signal', {instance: gateway.instance, signal: 'SIGTERM'});
		gateway.child.kill('SIGTERM');
	}

	await sleep(AFTER_SIGNAL_MS);
	for (const [index, client] of clients.entries()) {
		client.send({id: `first-${index}`, object: `object-${index}`});
	}

	await sleep(PIPELINE_GAP_MS);
	for (const [index, client] of clients.entries()) {
		client.send({id: `second-${index}`, object: `object-${index}-b`});
	}

	// What is not answered in time is judged below.
	await isMetWithin({condition: () => clients.every(({answers, endedAtMs}) => answers.length === 3 || endedAtMs !== undefined), timeoutMs: ANSWER_TIMEOUT_MS});
	await sleep(WORK_MS);
	const lost = clients.flatMap(({answers, endedAtMs}, index) => {
		const ids = [`first-${index}`, `second-${index}`];
		const answered = new Set(answers.map(({headers}) => headers['x-request-id']));
		return ids.filter(id => !answered.has(id) && endedAtMs !== undefined && executions.some(execution => execution.id === id));
	});
	record('judged', {signalledAtMs: Math.round(signalledAtMs), lost: lost.join(',') || '-'});
	return {
		isBroken: lost.length > 0,
		verdict: `${lost.length} of ${2 * CLIENTS} requests were passed on to a server and their connection ended without an answer`,
	};
}

await runCase({folder: import.meta.dirname, play});
