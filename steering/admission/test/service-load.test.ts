import assert from 'node:assert/strict';
import {before, describe, it} from 'node:test';
import type {RefusalReason} from '@pomelopick/core.types';
import {playAdmission, ROOM} from './admission-play.js';
import type {
	PlayAdmissionOptions, PlayedFigures, PlayedOrganisation, PlayedShare,
} from './admission-play.js';

const INSTANCES = 12;
const ORGANISATIONS = 24;
const SEEDS = [1, 2];
const ownReasons: readonly RefusalReason[] = ['deadline-unreachable', 'capacity-short', 'organisation-share-exceeded'];

function createOrganisations({load, priorities = 1, rise}: {readonly load: number; readonly priorities?: number; readonly rise?: {readonly atMs: number; readonly factor: number}}): readonly PlayedOrganisation[] {
	const usual = ROOM * load / ORGANISATIONS;
	return Array.from({length: ORGANISATIONS}, (_, index) => ({
		name: `organisation-${index}`,
		priority: index % priorities,
		rate: (nowMs: number) => rise && index === 0 && nowMs >= rise.atMs ? usual * rise.factor : usual,
	}));
}

type PlayOptions = Omit<PlayAdmissionOptions, 'instances' | 'seed' | 'decides' | 'exchanges'> & {readonly seeds?: readonly number[]; readonly instances?: number};

/** The plays of all seeds, with and without the decision. */
function playAll(options: PlayOptions, decides = true): readonly PlayedFigures[] {
	return (options.seeds ?? SEEDS).map(seed => playAdmission({
		instances: INSTANCES, ...options, seed, decides, exchanges: true,
	}));
}

/** Sum over some organisations of a value of their shares. */
function sum({figures, organisations, value}: {readonly figures: readonly PlayedFigures[]; readonly organisations: readonly PlayedOrganisation[]; readonly value: (share: PlayedShare) => number}): number {
	return figures.flatMap(({shares}) => organisations.map(({name}) => value(shares.get(name)!))).reduce((total, part) => total + part, 0);
}

function servedShare(figures: readonly PlayedFigures[], organisations: readonly PlayedOrganisation[]): number {
	return sum({figures, organisations, value: ({served}) => served}) / sum({figures, organisations, value: ({sent}) => sent});
}

describe('the admission decision under load', () => {
	const counted = {fromMs: 10_000, toMs: 25_000};
	const steady = (load: number): PlayOptions => ({organisations: createOrganisations({load, priorities: 3}), durationMs: 26_000, counted});

	const withRoom = new Map<number, readonly PlayedFigures[]>();
	before(() => {
		for (const load of [0.5, 0.7]) {
			withRoom.set(load, playAll(steady(load)));
		}
	});

	it('refuses nothing while there is room', () => {
		for (const played of withRoom.values()) {
			for (const figures of played) {
				assert.deepEqual(ownReasons.map(reason => figures.refusals.get(reason)), [undefined, undefined, undefined]);
			}
		}
	});

	// Deployments have 59 to 100 instances: with 48, each measures waits and rejections from few requests.
	for (const instances of [INSTANCES, 48]) {
		describe(`at 1.5 times the room, with ${instances} instances`, () => {
			const options = {...steady(1.5), instances};
			const {organisations} = options;
			let figures: readonly PlayedFigures[];
			let plain: readonly PlayedFigures[];
			before(() => {
				figures = playAll(options);
				plain = playAll(options, false);
			});

			it('keeps the service of the most urgent requests, and starves no others', t => {
				const byPriority = [0, 1, 2].map(priority => organisations.filter(organisation => organisation.priority === priority));
				const usual = servedShare(withRoom.get(0.7)!, byPriority[0]!);
				const shares = byPriority.map(some => servedShare(figures, some));
				const plainShares = byPriority.map(some => servedShare(plain, some));
				t.diagnostic(`served by priority: ${shares.map(share => share.toFixed(3)).join(', ')}; without the decision ${plainShares.map(share => share.toFixed(3)).join(', ')}`);
				assert.ok(shares[0]! >= 0.95 * usual, `served ${shares[0]} of the most urgent requests, before ${usual}`);
				assert.ok(shares[0]! > shares[1]! && shares[1]! > shares[2]!);
				const mean = servedShare(figures, organisations);
				for (const organisation of organisations) {
					assert.ok(servedShare(figures, [organisation]) >= 0.25 * mean, `${organisation.name} got less than a quarter of the mean`);
				}
			});

			it('uses the room as far as serving requests as they come does, and answers more of them in their target', t => {
				const inTarget = ({inTarget: count}: PlayedShare): number => count;
				const [answered, plainAnswered] = [figures, plain].map(played => sum({figures: played, organisations, value: inTarget}));
				const [served, plainServed] = [servedShare(figures, organisations), servedShare(plain, organisations)];
				t.diagnostic(`served ${served.toFixed(3)}, without the decision ${plainServed.toFixed(3)}; answered in their target ${answered}, without ${plainAnswered}`);
				assert.ok(answered! >= plainAnswered!);
				// The loads of two plays differ by about a hundredth, and the room ends at 0.667 of the requests.
				assert.ok(served >= 0.97 * plainServed, `served ${served}, ${plainServed} as they come`);
			});
		});
	}

	// More plays than elsewhere, since single organisations are judged, each of which sends few requests. With 48 instances,
	// each sees a third of a request of an organisation per second, so that only the sums over the fleet show the rise.
	for (const {instances, seeds} of [{instances: INSTANCES, seeds: [1, 2, 3, 4]}, {instances: 48, seeds: [1, 2, 3, 4, 5, 6, 7, 8]}]) {
		it(`keeps the service of all others when one organisation sends seven times its usual, with ${instances} instances`, t => {
			const rise = {atMs: 15_000, factor: 7};
			const options: PlayOptions = {
				organisations: createOrganisations({load: 0.9, rise}), durationMs: 22_000, counted: {fromMs: rise.atMs, toMs: 21_000}, countedBefore: {fromMs: 8000, toMs: rise.atMs}, instances, seeds,
			};
			const [riser, ...others] = options.organisations;
			const figures = playAll(options);
			const earlier = figures.map(played => ({...played, shares: played.sharesBefore}));
			const kept = others.map(organisation => servedShare(figures, [organisation]) / servedShare(earlier, [organisation]));
			const byPlay = figures.map(played => servedShare([played], others));
			t.diagnostic(`least share of the others ${Math.min(...kept).toFixed(3)}, of all others in each play ${byPlay.map(share => share.toFixed(3)).join(', ')}; of the one that rises ${servedShare(figures, [riser!]).toFixed(3)}; before the rise ${servedShare(earlier, others).toFixed(3)}; room used ${servedShare(figures, options.organisations).toFixed(3)}`);
			assert.ok(Math.min(...kept) >= 0.95);
			assert.ok(Math.min(...byPlay) >= 0.95);
			// Guards against instances that all send to the servers with the least load in the last report, and fill their queues.
			assert.ok(servedShare(earlier, others) >= 0.99);
			assert.ok(servedShare(figures, [riser!]) >= 0.25 * servedShare(figures, options.organisations));
		});
	}

	it('begins less work that is cut off where the timeout leaves little time, and answers more requests', t => {
		const options: PlayOptions = {...steady(1.5), timeoutMs: 400};
		const [figures, plain] = [playAll(options), playAll(options, false)];
		const [cutOff, plainCutOff] = [figures, plain].map(played => played.reduce((total, one) => total + one.cutOff, 0));
		const [served, plainServed] = [servedShare(figures, options.organisations), servedShare(plain, options.organisations)];
		t.diagnostic(`cut off ${cutOff}, without the decision ${plainCutOff}; served ${served.toFixed(3)}, without ${plainServed.toFixed(3)}`);
		assert.ok(cutOff! < 0.5 * plainCutOff!);
		assert.ok(served > plainServed);
	});

	it('serves all again soon after servers were slow', () => {
		const organisations = createOrganisations({load: 0.5});
		const figures = playAll({
			organisations, durationMs: 36_000, counted: {fromMs: 28_000, toMs: 35_000}, slowness: nowMs => nowMs >= 12_000 && nowMs < 20_000 ? 12 : 1,
		});
		assert.ok(servedShare(figures, organisations) > 0.99);
	});
});
