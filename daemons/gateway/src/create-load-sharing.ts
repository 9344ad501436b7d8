/** Creates and wires the parts that share the load of backend servers among all instances. */
import {setTimeout as startTimeout} from 'node:timers/promises';
import type {RequestListener} from 'node:http';
import {PeerClient} from '@pomelopick/calls.live';
import type {LiveView} from '@pomelopick/calls.live';
import {createLoadListener, LoadSharing} from '@pomelopick/calls.loads';
import {RefusalLog} from '@pomelopick/core.telemetry';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {InstanceId, RegionName} from '@pomelopick/core.types';
import {applyLoads, listOwnLoads} from '@pomelopick/steering.loads';
import type {AdmissionTable} from '@pomelopick/steering.admission';
import type {ObservationTable} from '@pomelopick/steering.servers';

/** Options of {@link createLoadSharing}. */
export interface CreateLoadSharingOptions {
	readonly self: InstanceId;
	readonly region: RegionName;
	readonly view: LiveView;
	readonly observations: ObservationTable;
	readonly admissions: AdmissionTable;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** The parts that are used from outside. */
export interface LoadSharingParts {
	/** Handles the reports of other instances. */
	readonly handleReports: RequestListener;
	readonly start: () => void;
	readonly stop: () => void;
}

/** Creates the parts. Nothing is sent before {@link LoadSharingParts.start}, nor while sharing is not needed. */
export function createLoadSharing({self, region, view, observations, admissions, counters, log, now, random}: CreateLoadSharingOptions): LoadSharingParts {
	const peers = new PeerClient();
	const refusals = new RefusalLog({log, now});
	const sharing = new LoadSharing({
		self,
		region,
		instances: () => view.instances.list(),
		isNeeded: () => view.organisations !== undefined || observations.hasWorkFactorReports,
		listOwn: () => listOwnLoads({observations, nowMs: now()}),
		listDemands: () => admissions.listDemands(now()),
		apply({all, own, demand}) {
			const nowMs = now();
			applyLoads({
				observations, all, own, nowMs,
			});
			admissions.applyFleetDemands({demands: demand, liveInstances: view.instances.list().length, nowMs});
		},
		post: async options => peers.post(options),
		sleep: async milliseconds => startTimeout(milliseconds, undefined, {ref: false}),
		counters,
		now,
		random,
	});
	return {
		handleReports: createLoadListener({
			receive: report => sharing.receive(report), onMalformed({code, message}) {
				counters.add(`server-loads.${code}`);
				refusals.line('load-report-refused', {subject: code, reason: code, detail: message});
			},
		}),
		start() {
			void sharing.run();
		},
		stop() {
			sharing.stop();
			peers.close();
		},
	};
}
