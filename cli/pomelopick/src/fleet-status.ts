/** Merges the status reports of all instances into one summary of the fleet. */
import {formatTable} from '@pomelopick/core.table';
import type {
	DrainReport, QuarantineReport, ServiceUseReport, ShiftReport, StatusReport,
} from '@pomelopick/core.types';
import {formatMissing} from './fleet-client.js';
import type {FleetResponses, MissingInstance} from './fleet-client.js';

const BYTES_PER_MEGABYTE = 1_000_000;
const PERCENT = 100;

/** The fleet as its instances report it. */
export interface FleetSummary {
	readonly instances: readonly StatusReport[];
	readonly missing: readonly MissingInstance[];
	/** Active configuration versions and the instances that use them; more than one while a change propagates. */
	readonly versions: ReadonlyArray<{readonly version: number; readonly instances: readonly string[]}>;
	readonly drains: readonly DrainReport[];
	readonly shifts: readonly ShiftReport[];
	readonly quarantines: readonly QuarantineReport[];
	/** Calls in progress in the whole fleet, by service and region. */
	readonly serviceUse: readonly ServiceUseReport[];
}

/** Merges reports. Call counts are summed; drains and shifts are listed as by an instance with the newest version. */
export function summarizeFleet({responses, missing}: FleetResponses<StatusReport>): FleetSummary {
	const instances = responses.map(({response}) => response);
	const newest = [...instances].sort((left, right) => versionOf(right) - versionOf(left))[0];
	const quarantines = new Map(instances.flatMap(report => report.quarantines.map(entry => [`${entry.state} ${entry.fingerprint}`, entry])));
	return {
		instances,
		missing,
		versions: listVersions(instances),
		drains: (newest?.drains ?? []).map(drain => mergeDrain({drain, instances})),
		shifts: (newest?.shifts ?? []).map(shift => mergeShift({shift, instances})),
		quarantines: [...quarantines.values()],
		serviceUse: mergeUse(instances),
	};
}

/** Merges the reports of one drain: sums its calls in progress and keeps the latest times. */
function mergeDrain({drain, instances}: {readonly drain: DrainReport; readonly instances: readonly StatusReport[]}): DrainReport {
	const reports = instances.flatMap(({drains}) => drains.filter(({name}) => name === drain.name));
	const latest = (field: 'lastNewCallMs' | 'lastCallEndedMs'): Partial<DrainReport> => {
		const times = reports.flatMap(report => report[field] ?? []);
		return times.length === 0 ? {} : {[field]: Math.max(...times)};
	};

	return {
		...drain, callsInProgress: reports.reduce((sum, {callsInProgress}) => sum + callsInProgress, 0), ...latest('lastNewCallMs'), ...latest('lastCallEndedMs'),
	};
}

/** Sums the calls of all instances by service and region; slot counts come from the instance that counts them. */
export function mergeUse(instances: readonly StatusReport[]): ServiceUseReport[] {
	const uses = new Map<string, ServiceUseReport>();
	for (const use of instances.flatMap(({serviceUse}) => serviceUse)) {
		const key = `${use.service} ${use.region}`;
		const before = uses.get(key);
		uses.set(key, {
			...before, ...use, callsInProgress: (before?.callsInProgress ?? 0) + use.callsInProgress, callsPlaced: (before?.callsPlaced ?? 0) + use.callsPlaced,
		});
	}

	return [...uses.values()];
}

/** Renders the fleet as tables. */
export function formatFleetStatus({instances, missing, versions, drains, shifts, quarantines, serviceUse}: FleetSummary): string {
	return [
		`${instances.length} of ${instances.length + missing.length} instances answer; ${formatVersions(versions)}`,
		...formatMissing(missing),
		...formatStoreFailures(instances),
		'',
		formatInstances(instances),
		'',
		formatTable({
			columns: ['service', 'region', 'calls in progress', 'slots in use', 'slots proven', 'counted by'],
			rows: serviceUse.map(({service, region, callsInProgress, slots}) => [service, region, callsInProgress, slots?.inUse ?? '-', slots?.proven ?? '-', slots?.countedBy ?? '-']),
		}),
		'',
		formatSection({
			title: 'no drains',
			columns: ['drain', 'target', 'servers', 'calls in progress', 'last new call after, ms', 'last call ended after, ms'],
			rows: drains.map(({name, target, backendServers, callsInProgress, lastNewCallMs, lastCallEndedMs}) => [
				name, `${target.kind} ${target.name}`, backendServers, callsInProgress, lastNewCallMs ?? 'none', callsInProgress === 0 ? lastCallEndedMs ?? 'none' : 'not yet',
			]),
		}),
		formatSection({
			title: 'no shifts', columns: ['shift', 'service', 'from', 'to', 'cap/s', 'used/s'], rows: shifts.map(({name, service, from, to, capCallsPerSecond, usedCallsPerSecond}) => [
				name, service, from, to, capCallsPerSecond, usedCallsPerSecond?.toFixed(1) ?? 'unknown',
			]),
		}),
		formatSection({title: 'no quarantined requests', columns: ['request', 'state', 'detail'], rows: quarantines.map(({fingerprint, state, detail}) => [fingerprint, state, detail])}),
	].join('\n');
}

function formatInstances(instances: readonly StatusReport[]): string {
	const stateOf = (report: StatusReport): string => {
		const self = report.instances.find(({id}) => id === report.instance);
		return self?.state ?? 'not listed';
	};

	return formatTable({
		columns: ['instance', 'failure domain', 'state', 'version', 'view ms', 'calls', 'load %', 'MB', 'up s', 'store'],
		rows: instances.map(report => [
			report.instance,
			report.failureDomain,
			stateOf(report),
			report.configurationVersion ?? 'none',
			report.viewAgeMs ?? '-',
			report.callsInProgress,
			Math.round((report.instances.find(({id}) => id === report.instance)?.load ?? 0) * PERCENT),
			Math.round(report.memoryBytes / BYTES_PER_MEGABYTE),
			Math.round(report.uptimeMs / 1000),
			report.store.state,
		]),
	});
}

/** Returns one line for each different store failure, with the time since it last occurred. */
function formatStoreFailures(instances: readonly StatusReport[]): string[] {
	const failures = new Map<string, {count: number; ageMs: number}>();
	for (const {store: {state, lastFailure = '', lastFailureAgeMs = 0}} of instances) {
		if (state === 'failing') {
			const {count = 0, ageMs = lastFailureAgeMs} = failures.get(lastFailure) ?? {};
			failures.set(lastFailure, {count: count + 1, ageMs: Math.min(ageMs, lastFailureAgeMs)});
		}
	}

	return [...failures].map(([failure, {count, ageMs}]) => `store: failing at ${count} instances, last ${ageMs} ms ago: ${failure}`);
}

function formatVersions(versions: FleetSummary['versions']): string {
	if (versions.length === 0) {
		return 'no configuration in force';
	}

	return versions.length === 1
		? `version ${versions[0]!.version} in force everywhere`
		: versions.map(({version, instances}) => `version ${version} at ${instances.join(', ')}`).join('; ');
}

function formatSection({title, columns, rows}: {readonly title: string; readonly columns: readonly string[]; readonly rows: ReadonlyArray<ReadonlyArray<string | number>>}): string {
	return rows.length === 0 ? title : `${formatTable({columns, rows})}\n`;
}

function listVersions(instances: readonly StatusReport[]): FleetSummary['versions'] {
	const byVersion = new Map<number, string[]>();
	for (const {instance, configurationVersion = 0} of instances) {
		byVersion.set(configurationVersion, [...byVersion.get(configurationVersion) ?? [], instance]);
	}

	return [...byVersion].sort(([left], [right]) => right - left).map(([version, names]) => ({version, instances: names}));
}

function mergeShift({shift, instances}: {readonly shift: ShiftReport; readonly instances: readonly StatusReport[]}): ShiftReport {
	const {usedCallsPerSecond: _, ...fixed} = shift;
	const known = instances.flatMap(({shifts}) => shifts.filter(({name, usedCallsPerSecond}) => name === shift.name && usedCallsPerSecond !== undefined));
	return known.length === 0 ? fixed : {...fixed, usedCallsPerSecond: known.reduce((sum, {usedCallsPerSecond = 0}) => sum + usedCallsPerSecond, 0)};
}

function versionOf({configurationVersion = 0}: StatusReport): number {
	return configurationVersion;
}
