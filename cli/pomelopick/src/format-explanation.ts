/** Renders the explanation of a decision as text. */
import {formatTable} from '@pomelopick/core.table';
import type {Explanation} from '@pomelopick/core.types';

const PERCENT = 100;

/** Renders the steps, the entry instances and the backend servers. */
export function formatExplanation({client, service, instance, configurationVersion, viewAgeMs, steps, entries, backendServers}: Explanation): string {
	const knowsSlots = backendServers.some(({slotsInUse}) => slotsInUse !== undefined);
	return [
		`${client} asks for ${service}; ${instance} answers from version ${configurationVersion}, confirmed ${viewAgeMs} ms ago`,
		'',
		...steps.map(({rule, result}) => `${rule}: ${result}`),
		'',
		formatTable({
			columns: ['entry instance', 'failure domain', 'delay ms', 'load %', 'place', 'why'],
			rows: entries.map(({instance: id, failureDomain, delayMs, load, place, reason}) => [id, failureDomain, delayMs ?? '-', Math.round(load * PERCENT), place ?? '-', reason]),
		}),
		'',
		formatTable({
			columns: ['backend server', 'site', 'region', 'slots', 'calls here', ...(knowsSlots ? ['in use', 'proven'] : []), 'why'],
			rows: backendServers.map(({backendServer, site, region, slots, callsInProgress, slotsInUse, provenSlots, reason}) => [
				backendServer, site, region, slots, callsInProgress, ...(knowsSlots ? [slotsInUse ?? '-', provenSlots ?? '-'] : []), reason,
			]),
		}),
	].join('\n');
}
