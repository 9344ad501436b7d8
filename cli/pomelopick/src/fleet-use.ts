/** What the fleet carries now: calls, their rate, and the entry instances that take them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {EitherAsync} from 'purify-ts';
import type {
	CodedError, Endpoint, ServiceUseReport, StatusReport,
} from '@pomelopick/core.types';
import {queryFleet} from './fleet-client.js';
import type {FleetResponses, MissingInstance} from './fleet-client.js';
import {mergeUse} from './fleet-status.js';

/** Time between the two reports that rates are taken from, in milliseconds. */
const SAMPLE_MS = 1000;
const MILLISECONDS_PER_SECOND = 1000;

/** Use of one service in one region by the whole fleet. */
export interface ServiceUse extends Pick<ServiceUseReport, 'service' | 'region' | 'callsInProgress'> {
	/** Calls sent there each second. */
	readonly callsPerSecond: number;
}

/** An entry instance and the calls that it has. */
export interface EntryUse {
	readonly id: string;
	readonly failureDomain: string;
	readonly callsInProgress: number;
}

/** Use of the fleet. */
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

/** Asks the fleet twice. Left: the instance does not answer. */
export function readFleetUse({instance, onProgress}: ReadFleetUseOptions): EitherAsync<CodedError, {readonly use: FleetUse; readonly missing: readonly MissingInstance[]}> {
	const ask = (report: (line: string) => void) => queryFleet<StatusReport>({instance, path: '/v1/status', onProgress: report});
	return ask(onProgress).chain(first => EitherAsync.fromPromise(async () => {
		await sleep(SAMPLE_MS);
		const second = await ask(() => undefined).run();
		return second.map(later => ({use: compareReports({first: listReports(first), second: listReports(later)}), missing: later.missing}));
	}));
}

function listReports({responses: answers}: FleetResponses<StatusReport>): readonly StatusReport[] {
	return answers.map(({answer}) => answer);
}

/** Options of {@link compareReports}. */
export interface CompareReportsOptions {
	readonly first: readonly StatusReport[];
	/** Reports of some time later. */
	readonly second: readonly StatusReport[];
}

/** Takes the calls from the second reports, and their rate from what came between the two by each instance's own clock. */
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
