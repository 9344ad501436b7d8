/** Creates the status report of one instance. */
import process from 'node:process';
import type {
	BackendServerName, ConfigurationSet, Drain, DrainReport, ShiftReport, StatusReport,
} from '@pomelopick/core.types';
import type {Counters} from '@pomelopick/core.telemetry';
import type {ConfigurationHolder} from '@pomelopick/config.distribution';
import type {Settings} from '@pomelopick/config.settings';
import {listDrainedServers} from '@pomelopick/steering.choice';
import type {LookupView} from '../lookup-view.js';
import type {ExplainSources} from './explain-sources.js';
import {listServiceUse} from './service-use.js';

/** Options of {@link createStatus}. */
export interface CreateStatusOptions {
	readonly settings: Settings;
	readonly holder: ConfigurationHolder;
	readonly counters: Counters;
	readonly lookup: LookupView;
	readonly sources: ExplainSources;
	readonly callsInProgress: number;
	readonly isWatcher: boolean;
	/** Monotonic time, in milliseconds. */
	readonly nowMs: number;
}

/** Creates a report of the instance's current state. */
export function createStatus({settings, holder, counters, lookup, sources, callsInProgress, isWatcher, nowMs}: CreateStatusOptions): StatusReport {
	const {view} = holder;
	const set = view?.configuration.set;
	const inProgress = sources.listCallsInProgress();
	const drainOf = (drain: Drain): Partial<DrainReport> => sources.drainTiming?.(drain.name) ?? {};
	return {
		instance: settings.instance,
		failureDomain: settings.failureDomain,
		...(view && {configurationVersion: view.configuration.root.version, viewAgeMs: Math.round(nowMs - view.confirmedAtMs)}),
		newestKnownVersion: holder.newestKnownVersion,
		isWatcher,
		uptimeMs: Math.round(process.uptime() * 1000),
		callsInProgress,
		instances: lookup.members.map(({instance: {id, failureDomain, state, operators}, alive, isolated, load}) => ({
			id, failureDomain, state, alive, isolated, load, operators,
		})),
		drains: set ? set.drains.map(drain => ({...reportDrain({set, drain, inProgress}), ...drainOf(drain)})) : [],
		shifts: set ? listShifts({set, sources}) : [],
		quarantines: sources.listQuarantines?.() ?? [],
		serviceUse: set ? listServiceUse({instance: settings.instance, set, sources}) : [],
		store: sources.storeState(),
		counters: counters.snapshot(),
		memoryBytes: process.memoryUsage().rss,
	};
}

function reportDrain({set, drain, inProgress}: {readonly set: ConfigurationSet; readonly drain: Drain; readonly inProgress: ReadonlyMap<BackendServerName, number>}): DrainReport {
	const servers = [...listDrainedServers({...set, drains: [drain]})];
	return {
		name: drain.name,
		target: drain.target,
		backendServers: servers.length,
		callsInProgress: servers.reduce((sum, server) => sum + (inProgress.get(server) ?? 0), 0),
	};
}

function listShifts({set, sources}: {readonly set: ConfigurationSet; readonly sources: ExplainSources}): ShiftReport[] {
	const use = sources.listShiftUse?.();
	return set.shifts.map(({name, service, from, to, capCallsPerSecond}) => {
		const usedCallsPerSecond = use && (use.get(name) ?? 0);
		return {
			name, service, from, to, capCallsPerSecond, ...(usedCallsPerSecond !== undefined && {usedCallsPerSecond}),
		};
	});
}
