/** A drill brings the store back from a copy 2.5 s old. The operator then changes the configuration; every gateway has to apply the change. */
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from '../shared-2/caller.js';
import {
	bounds, configuration, HOST, startDeployment,
} from '../shared-2/deployment.js';
import {playCase} from '../shared-2/play.js';

const MILLISECONDS_PER_SECOND = 1000;
const CALM_MS = 4000;
/** Age of the copy when the store goes away, and the time for which it is away. */
const COPY_AGE_MS = 2500;
const AWAY_MS = 1000;
/** Time between two tries of the operator, whose change falls into the time in which the store is away. */
const OPERATOR_RETRY_MS = 20;
/** Time from the change to the requests that judge: all machines have been in touch for a while, and the change must be in force. */
const SETTLED_MS = (bounds['contact-s'] + bounds['config-apply-s'] + 1) * MILLISECONDS_PER_SECOND;
const ROUNDS = 3;
const ROUND_PAUSE_MS = 3000;
const OBJECTS = 4;

await playCase({
	caseFolder: import.meta.dirname,
	async play({folder, record, hasTrouble, add}) {
		const {store, gateways} = await startDeployment({
			add, folder, record, onLine: logConfigurations(record),
		});
		await sleep(CALM_MS);
		await drill({store, record, hasTrouble});
		const revision = await changeConfiguration(store);
		record.line('operator', {version: 7, acknowledged: revision, change: '/stock/ goes to history'});
		await sleep(SETTLED_MS);
		return countOldAnswers({gateways, record});
	},
});

async function drill({store, record, hasTrouble}) {
	const copy = store.copy();
	await sleep(COPY_AGE_MS);
	record.line('store', {revision: store.revision, copy: copy.revision});
	if (hasTrouble) {
		store.goAway('reset');
		record.line('store', {away: true});
	}

	await sleep(AWAY_MS);
	if (hasTrouble) {
		store.comeBack(copy);
		record.line('store', {away: false, era: store.era, revision: store.revision});
	}
}

/** Writes the operator's change as soon as the store takes it. */
async function changeConfiguration(store) {
	do {
		await sleep(OPERATOR_RETRY_MS);
	} while (store.mode !== 'up');

	return store.put('op/config', configuration({version: 7, stock: 'history'}));
}

/** Sends requests to each gateway in rounds and counts those that the service of the older version has run. */
async function countOldAnswers({gateways, record}) {
	let count = 0;
	for (let round = 0; round < ROUNDS; round += 1) {
		const answers = await Promise.all(gateways.flatMap(gateway => Array.from({length: OBJECTS}, async (_, object) => call({
			gateway, record, host: HOST, path: `/stock/${object}`, headers: {'x-affinity-key': String(object)},
		}))));
		const old = answers.filter(({body}) => body.startsWith('ledger '));
		count += old.length;
		record.line('round', {round, answers: answers.filter(({status}) => status === 200).length, byOldService: old.length});
		await sleep(ROUND_PAUSE_MS);
	}

	return count;
}

/** Records which gateway applies which version, and how it reads the store. */
function logConfigurations(record) {
	return ({name}, line) => {
		if (/"event":"(?:routes-|store-|upstream-)/u.test(line)) {
			const {event, subject, detail, storeIndex} = JSON.parse(line);
			record.line('gateway', {
				name, event, subject, detail: JSON.stringify(detail ?? ''), storeIndex,
			});
		}
	};
}
