/** Renders a preview as text. */
import {formatTable} from '@pomelopick/core.table';
import type {Preview} from './preview.js';
import type {LinkRow} from './preview-links.js';

/** Renders the calls that move, the load of links and the capacity that is missing. */
export function formatPreview({
	rows, shortages, isUseKnown, caps, shiftMoves, links, entriesInDrainedDomains,
}: Preview): string {
	const changed = rows.filter(({slotsBefore, slotsAfter, displaced, taken}) => slotsBefore !== slotsAfter || displaced + taken > 0);
	return [
		...(changed.length === 0
			? ['no slots change']
			: [formatTable({
				columns: ['service', 'region', 'slots before', 'slots after', 'calls now', 'must move', 'take over'],
				rows: changed.map(({service, region, slotsBefore, slotsAfter, callsInProgress, displaced, taken}) => [
					service, region, slotsBefore, slotsAfter, callsInProgress ?? 'unknown', callsInProgress === undefined ? 'unknown' : displaced, callsInProgress === undefined ? 'unknown' : taken,
				]),
			})]),
		...caps.map(({shift, before, after}) => `cap of shift ${shift}: ${formatCap(before)} -> ${formatCap(after)}`),
		...shiftMoves.map(({shift, service, from, to, callsPerSecond, slots}) =>
			`shift ${shift}: ${callsPerSecond.toFixed(1)} of the calls/s of ${service} in ${from} go to ${to}, about ${slots} slots`),
		...links.map(link => formatLink(link)),
		...entriesInDrainedDomains.map(({id, failureDomain, callsInProgress}) =>
			`${id} in ${failureDomain} goes on taking callers, ${callsInProgress} calls now: a drain empties backend servers alone`),
		...(isUseKnown ? [] : ['load of the fleet not known; name a live instance with --instance to have the headroom checked']),
		...shortages.map(({detail}) => `no headroom: ${detail}`),
		...(isUseKnown && shortages.length === 0 ? ['headroom is there'] : []),
	].join('\n');
}

function formatLink({service, from, to, addedBytesPerSecond, shareBytesPerSecond}: LinkRow): string {
	const share = shareBytesPerSecond === undefined ? 'no link is configured' : `${service} may use ${Math.floor(shareBytesPerSecond)} B/s of it`;
	return `link from ${from} to ${to}: ${addedBytesPerSecond} B/s more; ${share}`;
}

function formatCap(cap: number | undefined): string {
	return cap === undefined ? 'none' : `${cap} calls/s`;
}
