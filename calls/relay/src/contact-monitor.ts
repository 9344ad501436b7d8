/**
 * Finds out which backend servers this instance can reach.
 *
 * Servers with which contact was lost are asked for their health until they answer or are gone. Servers at which
 * attempts are overdue are asked too, since a partition from them may show in nothing but their silence.
 */
import type {HealthState} from '@pomelopick/calls.connections';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import {LogRateLimiter} from '@pomelopick/core.telemetry';
import type {ServiceName} from '@pomelopick/core.types';
import type {ContactedServer, ServerContacts} from '@pomelopick/steering.servers';
import type {RelayServer} from './relay-server.js';
import type {UnsentAttempts} from './unsent-attempts.js';

/** Pauses between two checks of a server that does not answer, in milliseconds; doubled with each further check, up to the maximum. */
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 800;
/** Interval at which attempts in progress are looked at, in milliseconds. */
const SCAN_INTERVAL_MS = 200;
/** Time without a response of any server after which attempts that have waited as long are overdue, in milliseconds. */
const SILENCE_MS = 600;
/** Multiple of its expected time, and further time in milliseconds, after which an attempt is overdue in any case. */
const OVERDUE_FACTOR = 1.5;
const OVERDUE_MARGIN_MS = 500;
/** Time after which the server of a suspect is checked, in progress or after its attempt has ended, in milliseconds. */
const SUSPECT_CHECK_MS = 300;
/** Maximum number of servers that are checked because of overdue attempts in one scan. */
const MAX_CHECKS_PER_SCAN = 3;
/** Number of lost servers up to which further servers of a service are checked because one is unreachable. */
const MAX_SPREAD = 12;
/** Checks in a row that find a server unreachable before attempts that it may be working on are given up. */
const CHECKS_BEFORE_ABORT = 2;

/** Checks in a row that found a server unreachable. */
interface FailedChecks {
	/** Monotonic time of the first, in milliseconds. */
	readonly sinceMs: number;
	readonly count: number;
}

/** An attempt in progress. */
export interface MonitoredAttempt {
	readonly server: RelayServer;
	/** Monotonic time of its start, in milliseconds. */
	readonly sentAtMs: number;
	/** Time that it is expected to take, in milliseconds. */
	readonly expectedMs: number;
	/** Whether its request is suspected of crashing servers. */
	readonly isSuspect: boolean;
	/** Ends the attempt if the request may be sent again. */
	giveUp(detail: string): void;
}

/** Options of {@link ContactMonitor}. */
export interface ContactMonitorOptions {
	readonly contacts: ServerContacts;
	/** Checks the health of a server; whoever receives the answer confirms the contact. Never rejects. */
	readonly checkHealth: (server: RelayServer) => Promise<HealthState>;
	/** Whether this start of a server is registered. */
	readonly isRegistered: (server: RelayServer) => boolean;
	/** Servers of a service that may get requests. */
	readonly listServers: (service: ServiceName) => readonly RelayServer[];
	/** Attempts that are recalled, as they wait for a connection to a server that may have restarted. */
	readonly unsent: UnsentAttempts;
	/** Called once when a server has been unreachable since a monotonic time, in milliseconds, while another one responded. */
	readonly onUnreachable: (options: {readonly server: RelayServer; readonly sinceMs: number}) => void;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
	readonly sleep: (milliseconds: number) => Promise<void>;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Records losses of contact and checks the servers. */
export class ContactMonitor {
	readonly #options: ContactMonitorOptions;
	readonly #logLimiter = new LogRateLimiter();
	readonly #attempts = new Set<MonitoredAttempt>();
	/** Attempts whose servers were checked because they were overdue. */
	readonly #checked = new WeakSet<MonitoredAttempt>();
	/** Monotonic time at which a server last responded, in milliseconds. */
	#heardAtMs = Number.NEGATIVE_INFINITY;
	#isScanning = false;
	#isStopped = false;

	constructor(options: ContactMonitorOptions) {
		this.#options = options;
	}

	/** Watches an attempt until {@link untrack}. */
	track(attempt: MonitoredAttempt): void {
		this.#attempts.add(attempt);
		if (!this.#isScanning) {
			this.#isScanning = true;
			void this.#scan();
		}
	}

	/** Ends watching an attempt. */
	untrack(attempt: MonitoredAttempt): void {
		this.#attempts.delete(attempt);
	}

	/** Records the head of a response. */
	recordResponse({server, openedAtMs}: {readonly server: ContactedServer; readonly openedAtMs: number}): void {
		this.#heardAtMs = this.#options.now();
		this.#options.contacts.recordResponse({server, openedAtMs});
	}

	/** Checks the server of a suspect some time after its attempt has ended without an answer, as it may have crashed the server. */
	async checkAfterSuspect(server: RelayServer): Promise<void> {
		const {contacts, sleep} = this.#options;
		await sleep(SUSPECT_CHECK_MS);
		if (!this.#isStopped && !contacts.isLost(server)) {
			await this.#checkServer({server, hasSuspect: true});
		}
	}

	/** Records that a connection to a server could not be made or ended unexpectedly. `unreachableSinceMs` is the monotonic time of a check that has found so already, in milliseconds. */
	lose({server, detail, unreachableSinceMs}: {readonly server: RelayServer; readonly detail: string; readonly unreachableSinceMs?: number}): void {
		const {contacts, unsent, counters, log, now} = this.#options;
		const nowMs = now();
		if (!contacts.lose({server, nowMs}) || this.#isStopped) {
			return;
		}

		const recalled = unsent.recall({server: server.name, reason: 'connect-failed', detail: 'contact with the server was lost'});
		counters.add('contact.lost');
		counters.add('contact.recalled', recalled);
		if (this.#logLimiter.tryAcquire({key: server.name, nowMs})) {
			log.line('contact-lost', {subject: server.name, detail, startedAtMs: server.startedAtMs});
		}

		void this.#checkUntilConfirmed({server, unreachableSinceMs});
	}

	/** Ends all checks. */
	stop(): void {
		this.#isStopped = true;
	}

	/** Checks the servers of overdue attempts, while there are attempts. */
	async #scan(): Promise<void> {
		const {contacts, sleep, now} = this.#options;
		while (!this.#isStopped && this.#attempts.size > 0) {
			const nowMs = now();
			const overdue = [...this.#attempts].filter(attempt => !this.#checked.has(attempt) && !contacts.isLost(attempt.server) && this.#isOverdue({attempt, nowMs}));
			for (const attempt of overdue.slice(0, MAX_CHECKS_PER_SCAN)) {
				this.#checked.add(attempt);
				void this.#checkServer({server: attempt.server, hasSuspect: attempt.isSuspect});
			}

			await sleep(SCAN_INTERVAL_MS);
		}

		this.#isScanning = false;
	}

	#isOverdue({attempt: {sentAtMs, expectedMs, isSuspect}, nowMs}: {readonly attempt: MonitoredAttempt; readonly nowMs: number}): boolean {
		const waitedMs = nowMs - sentAtMs;
		const isSilent = nowMs - this.#heardAtMs >= SILENCE_MS && waitedMs >= SILENCE_MS;
		return isSilent || (isSuspect && waitedMs >= SUSPECT_CHECK_MS) || waitedMs >= (expectedMs * OVERDUE_FACTOR) + OVERDUE_MARGIN_MS;
	}

	/** Checks a server with which contact is not known to be lost. If a suspect may be running there, one check without an answer is enough to report it. */
	async #checkServer({server, hasSuspect}: {readonly server: RelayServer; readonly hasSuspect: boolean}): Promise<void> {
		const {contacts, counters, now} = this.#options;
		const checkedAtMs = now();
		counters.add('contact.checked');
		if (await this.#check(server) === 'unreachable') {
			this.lose({server, detail: 'it does not accept connections', unreachableSinceMs: checkedAtMs});
			contacts.recordCheck({server, isReachable: false});
			this.#checkFurther(server);
			if (hasSuspect) {
				this.#reportUnreachable({server, sinceMs: checkedAtMs});
			}
		}
	}

	async #checkUntilConfirmed({server, unreachableSinceMs}: {readonly server: RelayServer; readonly unreachableSinceMs: number | undefined}): Promise<void> {
		const {contacts, isRegistered, sleep, now} = this.#options;
		let pauseMs = FIRST_PAUSE_MS;
		let failed: FailedChecks | undefined = unreachableSinceMs === undefined ? undefined : {sinceMs: unreachableSinceMs, count: 1};
		let isReported = false;
		while (!this.#isStopped && contacts.isLost(server) && isRegistered(server)) {
			const checkedAtMs = now();
			const isReachable = await this.#check(server) !== 'unreachable';
			contacts.recordCheck({server, isReachable});
			failed = isReachable ? undefined : {sinceMs: failed?.sinceMs ?? checkedAtMs, count: (failed?.count ?? 0) + 1};
			if (failed && failed.count >= CHECKS_BEFORE_ABORT) {
				this.#giveUpAttempts(server);
				isReported ||= this.#reportUnreachable({server, sinceMs: failed.sinceMs});
			}

			if (!isReachable) {
				this.#checkFurther(server);
			}

			if (contacts.isLost(server)) {
				await sleep(pauseMs);
				pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
			}
		}
	}

	/** Reports a server that has been unreachable since a monotonic time, in milliseconds, unless nothing else has responded since; returns whether it did. */
	#reportUnreachable({server, sinceMs}: {readonly server: RelayServer; readonly sinceMs: number}): boolean {
		const hasHeardOthers = this.#heardAtMs >= sinceMs;
		if (hasHeardOthers) {
			this.#options.onUnreachable({server, sinceMs});
		}

		return hasHeardOthers;
	}

	async #check(server: RelayServer): Promise<HealthState> {
		const state = await this.#options.checkHealth(server);
		if (state === 'responded') {
			this.#heardAtMs = this.#options.now();
		}

		return state;
	}

	/** Checks one more server of a service, so that it becomes known soon if none can be reached, and if some can. */
	#checkFurther({service}: RelayServer): void {
		const {contacts, listServers} = this.#options;
		if (contacts.lostCount >= MAX_SPREAD) {
			return;
		}

		const further = listServers(service).find(server => !contacts.isLost(server));
		if (further) {
			void this.#checkServer({server: further, hasSuspect: false});
		}
	}

	#giveUpAttempts({name, startedAtMs}: RelayServer): void {
		for (const attempt of this.#attempts) {
			if (attempt.server.name === name && attempt.server.startedAtMs === startedAtMs) {
				attempt.giveUp('the server cannot be reached any more');
			}
		}
	}
}
