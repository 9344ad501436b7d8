/** The store answers one heartbeat of a server not at all and carries it out seconds later, after the server's entry was removed. */
import {setTimeout as sleep} from 'node:timers/promises';
import {startCallers} from '../shared-2/callers.js';
import {bounds, startDeployment} from '../shared-2/deployment.js';
import {leave, watchRuns} from '../shared-2/leaving.js';
import {playCase} from '../shared-2/play.js';

const MILLISECONDS_PER_SECOND = 1000;
const CALM_MS = 4000;
/** Time from the lost heartbeat to the removal of the entry: the store has been stable for `contact-s` by then. */
const REMOVED_MS = (bounds['contact-s'] * MILLISECONDS_PER_SECOND) + 300;
/** Time from the lost heartbeat to its execution; 6 s is the most. */
const LATE_MS = 5900;
/** Time from the removal to the end of the server, before the entry could lapse again (three heartbeat intervals). */
const SERVER_END_MS = 4100;
const WORK_MS = 100;

await playCase({
	caseFolder: import.meta.dirname,
	async play({folder, record, hasTrouble, add}) {
		const {store, servers, gateways} = await startDeployment({
			add, folder, record,
		});
		const leaving = servers[0];
		for (const server of servers) {
			server.workMs = WORK_MS;
		}

		const callers = add(startCallers({gateways, record}));
		await sleep(CALM_MS);
		const late = hasTrouble ? executeLate({server: leaving, store, record}) : undefined;
		await sleep(REMOVED_MS);
		const runs = watchRuns(leaving);
		const removedAtMs = leave({server: leaving, store, record});
		await late;
		await sleep(removedAtMs + SERVER_END_MS - performance.now());
		record.line('server', {id: leaving.id, ends: true});
		await leaving.stop();
		await callers.stop();
		return runs.filter(atMs => atMs > removedAtMs + (bounds['drain-s'] * MILLISECONDS_PER_SECOND)).length;
	},
});

/** Sends a heartbeat of the server that gets no answer, and executes it later. Meanwhile the server's heartbeats go on. */
async function executeLate({server, store, record}) {
	const entry = server.nextEntry();
	record.line('store', {call: `put servers/${server.id}`, sequence: entry.sequence, answered: false});
	await sleep(LATE_MS);
	const revision = store.put(`servers/${server.id}`, entry);
	record.line('store', {call: `put servers/${server.id}`, sequence: entry.sequence, executed: revision});
}
