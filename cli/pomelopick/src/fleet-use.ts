/** Reads the current load of the fleet: calls in progress, their rate, and the entry instances that handle them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {EitherAsync} from 'purify-ts';
import type {
	CodedError, Endpoint, ServiceUseReport, StatusReport,
} from '@pomelopick/core.types';
import {queryFleet} from './fleet-client.js';
import type {FleetResponses, MissingInstance} from './fleet-client.js';
import {mergeUse} from './fleet-status.js';

/** Time between the two reports that rates are computed from, in milliseconds. */
const SAMPLE_MS = 1000;
const MILLISECONDS_PER_SECOND = 1000;

/** Calls of the whole fleet to one service in one region. */
export interface ServiceUse extends Pick<ServiceUseReport, 'service' | 'region' | 'callsInProgress'> {
	/** Calls sent to the service in this region per second. */
	readonly callsPerSecond: number;
}

/** An entry instance and its calls in progress. */
export interface EntryUse {
	readonly id: string;
	readonly failureDomain: string;
	readonly callsInProgress: number;
}

/** Current load of the fleet. */
export interface FleetUse {
	readonly services: readonly ServiceUse[];
	readonly entries: readonly EntryUse[];
}

/** Options of {@link readFleetUse}. */
export interface ReadFleetUseOptions {
	/** Listener for operators of any live instance. */
	readonly instance: Endpoint;
	readonly onProgress: (line: string) => void;
}

/** Queries the fleet twice, to compute rates. Left if the instance does not respond. */
export function readFleetUse({instance, onProgress}: ReadFleetUseOptions): EitherAsync<CodedError, {readonly use: FleetUse; readonly missing: readonly MissingInstance[]}> {
	const query = (report: (line: string) => void) => queryFleet<StatusReport>({instance, path: '/v1/status', onProgress: report});
	return query(onProgress).chain(first => EitherAsync.fromPromise(async () => {
		await sleep(SAMPLE_MS);
		const second = await query(() => undefined).run();
		return second.map(later => ({use: compareReports({first: listReports(first), second: listReports(later)}), missing: later.missing}));
	}));
}

function listReports({responses}: FleetResponses<StatusReport>): readonly StatusReport[] {
	return responses.map(({response}) => response);
}

/** Options of {@link compareReports}. */
export interface CompareReportsOptions {
	readonly first: readonly StatusReport[];
	/** Reports from a later query. */
	readonly second: readonly StatusReport[];
}

/**
 * Takes the calls in progress from the second reports and computes their rate from the calls placed between both reports,
 * by the uptime that each instance reports. An instance that started or restarted in between adds nothing to the rates.
 */
export function compareReports({first, second}: CompareReportsOptions): FleetUse {
	const rates = new Map<string, number>();
	for (const report of second) {
		const earlier = first.find(({instance, uptimeMs}) => instance === report.instance && uptimeMs < report.uptimeMs);
		for (const {service, region, callsPlaced} of earlier ? report.serviceUse : []) {
			const before = earlier!.serviceUse.find(use => use.service === service && use.region === region)?.callsPlaced ?? 0;
			const key = `${service} ${region}`;
			const perSecond = (callsPlaced - before) * MILLISECONDS_PER_SECOND / (report.uptimeMs - earlier!.uptimeMs);
			rates.set(key, (rates.get(key) ?? 0) + perSecond);
		}
	}

	return {
		services: mergeUse(second).map(({service, region, callsInProgress}) => ({
			service, region, callsInProgress, callsPerSecond: rates.get(`${service} ${region}`) ?? 0,
		})),
		entries: second.map(({instance: id, failureDomain, callsInProgress}) => ({id, failureDomain, callsInProgress})),
	};
}
