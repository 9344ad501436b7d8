/** Works out what bad days ask of the fleet, from the planned size and the measured slopes. */
import type {MeasuredSlope} from './figure.js';
import {plannedSize, storeBudget} from './planned-size.js';
import {formatNumber, renderTable} from './report.js';

const WATCHERS_PER_FAILURE_DOMAIN = 2;
const RACK_NODES = 10;
const BYTES_PER_MEGABYTE = 1_000_000;
const PERCENT = 100;

/** One bad day. */
export interface BadDay {
	readonly name: string;
	readonly figure: string;
	readonly meaning: string;
}

/** Options of {@link listBadDays}. */
export interface ListBadDaysOptions {
	readonly slopes: readonly MeasuredSlope[];
}

/** Works out the bad days that the page names. */
export function listBadDays({slopes}: ListBadDaysOptions): readonly BadDay[] {
	const planned = (quantity: string): number => slopes.find(slope => slope.quantity === quantity)!.plannedY;
	const {nodes, failureDomains, lookupsPerSecond, replacementsPerDay} = plannedSize;
	const nodesPerDomain = nodes / failureDomains;
	const lookupsPerNode = lookupsPerSecond / nodes;
	const lookupPercent = planned('one look-up over HTTP, a second\'s worth for one node') / 1_000_000 * PERCENT;
	const setBytes = planned('stored chunks');
	const chunksOfSet = planned('chunks of a set');
	const allReads = nodes * chunksOfSet;
	const watcherReads = failureDomains * WATCHERS_PER_FAILURE_DOMAIN * chunksOfSet;
	const withOneFewer = (lost: number): number => nodes / (nodes - lost);
	return [
		{
			name: 'a failure domain lost',
			figure: [
				`${formatNumber(nodesPerDomain)} nodes of ${nodes}; ${formatNumber(lookupsPerNode * withOneFewer(nodesPerDomain))} look-ups/s at each other node`,
				`${formatNumber(lookupPercent * withOneFewer(nodesPerDomain))} % of a core`,
			].join(', '),
			meaning: 'the domain\'s watchers are lost with it; every other domain keeps its own',
		},
		{
			name: 'a rack gone',
			figure: `${RACK_NODES} nodes; ${formatNumber((withOneFewer(RACK_NODES) - 1) * PERCENT)} % more look-ups at the others`,
			meaning: 'with both watchers of a domain among them, rendezvous hashing names two others once they are taken for dead',
		},
		{
			name: 'two regions apart for minutes',
			figure: `${formatNumber(nodes / plannedSize.regions)} nodes in each`,
			meaning: [
				'each domain watches the store itself, so versions arrive on both sides that reach it',
				'a side that does not is told the age of its view, and its nodes are held as isolated, not dead',
			].join('; '),
		},
		{
			name: 'the store down an hour with replacements',
			figure: [
				`${formatNumber(replacementsPerDay / 24)} replaced in an average hour, ${replacementsPerDay} at the worst`,
				`${formatNumber(replacementsPerDay * setBytes / BYTES_PER_MEGABYTE)} MB from peers for all of them`,
			].join('; '),
			meaning: 'no change is accepted; new instances take version and chunks from peers; keyed writes are refused at once as not run; shifts stop when their grants of 20 s end',
		},
		{
			name: 'all nodes restart together',
			figure: [
				`${formatNumber(allReads)} chunk reads if each asks the store: ${formatNumber(allReads / storeBudget.readsPerSecond)} s at ${formatNumber(storeBudget.readsPerSecond)} reads/s`,
				`${formatNumber(watcherReads)} reads, ${formatNumber(watcherReads / storeBudget.readsPerSecond)} s, if only the watchers do`,
			].join('; '),
			meaning: 'an instance that knows no list yet takes itself for a watcher; see "What is missed"',
		},
	];
}

/** Renders bad days as a Markdown table. */
export function renderBadDays(days: readonly BadDay[]): string {
	return renderTable({header: ['day', 'figure', 'what carries it'], rows: days.map(({name, figure, meaning}) => [name, figure, meaning])});
}
