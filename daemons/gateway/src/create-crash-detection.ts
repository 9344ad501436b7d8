/** Creates and wires the detection of requests that crash backend servers. */
import type {BackendConnections} from '@pomelopick/calls.connections';
import type {LostServer, SuspicionRecord} from '@pomelopick/calls.live';
import {CrashDetector, Quarantine} from '@pomelopick/calls.quarantine';
import type {SuspicionSharing} from '@pomelopick/calls.quarantine';
import type {RelayServer} from '@pomelopick/calls.relay';
import {EventRecord} from '@pomelopick/core.telemetry';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {InstanceId} from '@pomelopick/core.types';
import {platformHeaders} from '@pomelopick/platform.wire';
import type {LeavingServers} from '@pomelopick/steering.servers';

const EVENTS_KEPT = 512;
/** Maximum difference between the clocks of a server and of this instance that is allowed for, in milliseconds. */
const CLOCK_MARGIN_MS = 100;

/** Options of {@link createCrashDetection}. */
export interface CreateCrashDetectionOptions {
	readonly instance: InstanceId;
	/** Sequence number before the first one that this run of the instance assigns to its records for other instances. */
	readonly firstSequence: number;
	readonly sharing: SuspicionSharing;
	readonly connections: BackendConnections;
	/** Servers that say that they are leaving. */
	readonly leaving: LeavingServers;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** The parts of the detection. */
export interface CrashDetectionParts {
	readonly quarantine: Quarantine;
	readonly crashDetector: CrashDetector<RelayServer>;
	/** Receives a record about requests that crash servers, from other instances and from earlier runs of this one. */
	readonly receiveSuspicion: (record: SuspicionRecord) => void;
	/** Reports that a start of a server has ended, if requests may have caused it. */
	readonly reportLost: (lost: LostServer) => Promise<void>;
	/** Reports that a server is unreachable while others respond, since a monotonic time, in milliseconds. */
	readonly reportUnreachable: (options: {readonly server: RelayServer; readonly sinceMs: number}) => void;
}

/** Creates the detection. */
export function createCrashDetection({instance, firstSequence, sharing, connections, leaving, counters, log, now}: CreateCrashDetectionOptions): CrashDetectionParts {
	const clockOffsetMs = Date.now() - now();
	const events = new EventRecord({
		capacity: EVENTS_KEPT, now: () => Date.now(), onAdd({kind, message, fields}) {
			log.line(kind, {detail: message, ...fields});
		},
	});
	const quarantine = new Quarantine({
		instance, firstSequence, sharing, counters, events, now,
	});
	const crashDetector = new CrashDetector<RelayServer>({
		async isGone(server) {
			const {state, head} = await connections.askHealth(server);
			const respondingName = head?.headers[platformHeaders.answeringServer];
			return state !== 'responded' || (respondingName !== undefined && respondingName !== server.name);
		},
		reportCrash: async crash => quarantine.reportCrash(crash),
		now,
		clockOffsetMs,
	});
	return {
		quarantine,
		crashDetector,
		receiveSuspicion(record) {
			if (!quarantine.isFromThisRun(record)) {
				receive({record, quarantine, nowMs: now()});
			}
		},
		async reportLost({server: entry, restartedAtMs}) {
			const server: RelayServer = {...entry, connections: 1};
			if (restartedAtMs !== undefined) {
				const restartMs = restartedAtMs - clockOffsetMs + CLOCK_MARGIN_MS;
				quarantine.confirmEnd({server: entry.name, startedAtMs: entry.startedAtMs});
				await crashDetector.reportEnd({server, evidence: 'restarted', endedByMs: Math.min(now(), restartMs)});
			} else if (entry.state === 'ready' && !leaving.has(entry)) {
				quarantine.confirmEnd({server: entry.name, startedAtMs: entry.startedAtMs});
				await crashDetector.reportIfGone({server, evidence: 'removed', endedByMs: now()});
			}
		},
		reportUnreachable({server, sinceMs}) {
			void crashDetector.reportEnd({server, evidence: 'unreachable', endedByMs: sinceMs});
		},
	};
}

function receive({record, quarantine, nowMs}: {readonly record: SuspicionRecord; readonly quarantine: Quarantine; readonly nowMs: number}): void {
	if (record.kind === 'cleared') {
		const {fingerprint, origin, sequence} = record;
		quarantine.receiveAnswer({fingerprint, report: `answer ${origin}/${sequence}`});
		return;
	}

	const {kind, ...crash} = record;
	quarantine.receiveCrash({...crash, atMs: nowMs});
}
