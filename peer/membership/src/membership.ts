/** Maintains this instance's view of the fleet, from the platform's list and from heartbeats with a few neighbours. */
import type {ConnectRouter} from '@connectrpc/connect';
import type {Endpoint, Instance, InstanceId} from '@pomelopick/core.types';
import {MembershipService} from '@pomelopick/peer.protocol';
import type {ExchangeRequest, ExchangeResponse} from '@pomelopick/peer.protocol';
import {DifferenceTracker} from './difference-tracker.js';
import {HeartbeatRetries} from './heartbeat-retries.js';
import {ExchangeCalls} from './exchange-calls.js';
import {ReceivedVersions} from './received-versions.js';
import type {ReceivedResponse} from './received-versions.js';
import {ListReader} from './list-reader.js';
import {MemberList} from './member-list.js';
import type {MembersListener} from './member-list.js';
import {MemberTable} from './member-table.js';
import type {
	Member, MemberRecord, MembershipUpdates,
} from './member.js';
import type {MembershipOptions, MembershipStatistics} from './membership-options.js';
import {Neighbourhood} from './neighbourhood.js';
import {Observer} from './observer.js';
import {Outbox} from './outbox.js';
import {OwnFindings} from './own-findings.js';
import {isUrgent, OwnRecord} from './own-record.js';
import {StallDetector} from './stall-detector.js';
import {UrgentFlush} from './urgent-flush.js';
import {fromNewsMessage} from './wire.js';

const HEARTBEAT_INTERVAL_MS = 1000;
/** Delay that batches updates before the view is computed again, in milliseconds. */
const REFRESH_DELAY_MS = 10;

interface ReceiveResponseOptions extends ReceivedResponse {
	readonly id: InstanceId;
}

/** This instance's view of the fleet. */
export class Membership {
	readonly #options: MembershipOptions;
	readonly #table: MemberTable;
	readonly #observer = new Observer();
	readonly #outbox = new Outbox();
	readonly #reader: ListReader;
	readonly #list = new MemberList();
	readonly #neighbourhood: Neighbourhood;
	readonly #inFlight = new Set<InstanceId>();
	readonly #heartbeatRetries = new HeartbeatRetries({
		send: id => {
			this.#exchangeWith(id);
		},
	});

	readonly #urgent: UrgentFlush;
	readonly #differences = new DifferenceTracker();
	readonly #stallDetector = new StallDetector({intervalMs: HEARTBEAT_INTERVAL_MS});
	readonly #calls: ExchangeCalls;
	readonly #findings: OwnFindings;
	readonly #versions: ReceivedVersions;
	readonly #self = new OwnRecord();
	#timer: NodeJS.Timeout | undefined;
	#refreshTimer: NodeJS.Timeout | undefined;
	#mustAnnounce = false;
	#isStopped = false;

	constructor(options: MembershipOptions) {
		this.#options = options;
		this.#table = new MemberTable({regionOf: options.regionOf});
		this.#neighbourhood = new Neighbourhood({table: this.#table, self: () => this.#self.id, now: options.now});
		this.#urgent = new UrgentFlush({
			flush: () => {
				this.#flush({isUrgent: true});
			}, now: options.now,
		});
		this.#calls = new ExchangeCalls({
			clients: options.clients, heldVersion: options.heldVersion, table: this.#table, sender: () => this.#self.id,
		});
		this.#findings = new OwnFindings({observer: this.#observer, table: this.#table, wallClock: options.wallClock});
		this.#versions = new ReceivedVersions({onPeerVersion: options.onPeerVersion, now: options.now, table: this.#table});
		this.#reader = new ListReader({
			read: options.readList,
			random: options.random,
			onFailure: options.onFailure,
			onList: instances => {
				this.#table.applyList(instances);
				this.#refresh();
			},
		});
	}

	/** All known instances, this one included. */
	get members(): readonly Member[] {
		return this.#list.members;
	}

	/** Counters of the exchanges. */
	get statistics(): MembershipStatistics {
		return this.#calls.statistics;
	}

	/** Instances that can take work: alive and not leaving. */
	liveInstances(): readonly Instance[] {
		return this.#list.live;
	}

	/** Registers a listener for changes of the instances, their states and whether they are alive. */
	onChange(listener: MembersListener): void {
		this.#list.onChange(listener);
	}

	/** Registers the service that answers heartbeats. */
	register(router: ConnectRouter): void {
		router.service(MembershipService, {exchange: request => this.#handleExchange(request)});
	}

	/** Starts heartbeats as this instance. */
	start(instance: Instance): void {
		this.#table.applyRecord(this.#self.start({instance, incarnation: this.#options.wallClock()}));
		this.#refresh();
		this.#reader.start();
		// A random delay, so that instances that start at the same time do not send heartbeats at the same time.
		this.#timer = setTimeout(() => {
			this.#stallDetector.start(this.#options.now());
			this.#tick();
			this.#timer = setInterval(() => {
				this.#tick();
			}, HEARTBEAT_INTERVAL_MS);
		}, HEARTBEAT_INTERVAL_MS * this.#options.random());
	}

	/** Announces to the neighbours that this instance is leaving. */
	leave(): void {
		if (this.#self.hasStarted) {
			this.#announceSelf(this.#self.leave());
			this.#flush();
		}
	}

	/** Sends the active configuration version to the neighbours without waiting for the next heartbeat. */
	announceVersion(): void {
		this.#mustAnnounce = true;
		this.#urgent.schedule();
	}

	/** Rebuilds what depends on the regions, after a configuration has changed them. */
	useRegions(): void {
		this.#table.useRegions();
		this.#refresh();
	}

	/** Stops heartbeats. */
	stop(): void {
		this.#isStopped = true;
		clearInterval(this.#timer);
		clearTimeout(this.#refreshTimer);
		this.#urgent.stop();
		this.#heartbeatRetries.stop();
		this.#reader.stop();
	}

	#tick(): void {
		if (this.#stallDetector.tick(this.#options.now())) {
			this.#observer.discardFailures();
		}

		const changed = this.#self.withLoad(this.#options.load());
		if (changed) {
			this.#announceSelf(changed);
		}

		this.#flush();
		if (this.#table.hasSuspects) {
			this.#refresh();
		}
	}

	/** Sends a heartbeat to each subject without a heartbeat in flight; an urgent flush only to those with pending updates. */
	#flush({isUrgent = false}: {readonly isUrgent?: boolean} = {}): void {
		if (this.#isStopped) {
			return;
		}

		const isForAll = !isUrgent || this.#mustAnnounce;
		this.#mustAnnounce = false;
		const subjects = this.#neighbourhood.subjects();
		this.#observer.keepOnly({subjects, isKnown: id => this.#table.describe(id) !== undefined});
		this.#outbox.keepOnly(this.#neighbourhood.all());
		for (const id of subjects) {
			if (isForAll || this.#outbox.has(id)) {
				this.#exchangeWith(id);
			}
		}

		if (subjects.size === 0) {
			for (const endpoint of this.#options.seeds ?? []) {
				void this.#exchangeWithSeed(endpoint);
			}
		}
	}

	async #exchange({id, endpoint}: {readonly id: InstanceId; readonly endpoint: Endpoint}): Promise<void> {
		const wantsEverything = this.#differences.shouldExchangeEverything({id, nowMs: this.#options.now(), size: this.#table.size});
		const sentUpdates = this.#outbox.take(id);
		this.#inFlight.add(id);
		const sentAtMs = this.#options.now();
		const result = await this.#calls.send({endpoint, updates: wantsEverything ? this.#table.everything : sentUpdates, wantsEverything});
		this.#inFlight.delete(id);
		const error = result.swap().toMaybe().extract();
		if (!this.#stallDetector.isRecent(this.#options.now())) {
			this.#observer.record({subject: id, outcome: error ? (error.code === 'not-sent' ? 'refused' : 'lost') : 'answered'});
		}

		if (error) {
			this.#outbox.putBack({neighbour: id, updates: sentUpdates});
			if (!this.#table.isDead(id) && !this.#isStopped) {
				this.#heartbeatRetries.schedule(id);
			}
		}

		result.ifRight(response => {
			this.#outbox.recordArrival(id);
			if (this.#outbox.has(id)) {
				this.#urgent.schedule();
			}

			this.#receiveResponse({
				id, endpoint, response, sentAtMs,
			});
		});
		this.#reportFindings();
	}

	/** Sends a heartbeat to a known instance, unless one is in flight. */
	#exchangeWith(id: InstanceId): void {
		const known = this.#table.describe(id);
		if (known && !this.#inFlight.has(id) && !this.#isStopped) {
			void this.#exchange({id, endpoint: known.instance.peers});
		}
	}

	async #exchangeWithSeed(endpoint: Endpoint): Promise<void> {
		const sentAtMs = this.#options.now();
		const result = await this.#calls.send({endpoint, updates: this.#table.everything, wantsEverything: true});
		result.ifRight(response => {
			this.#applyUpdates({updates: fromNewsMessage(response.news)});
			this.#versions.receiveResponse({endpoint, response, sentAtMs});
		});
	}

	#handleExchange(request: ExchangeRequest): ExchangeResponse {
		const sender = request.sender as InstanceId;
		this.#neighbourhood.recordSender(sender);
		this.#applyUpdates({updates: fromNewsMessage(request.news), from: sender});
		this.#versions.receiveRequest(request);
		return this.#calls.createResponse(request.wantsEverything ? this.#table.everything : this.#outbox.take(sender));
	}

	#receiveResponse({id, endpoint, response, sentAtMs}: ReceiveResponseOptions): void {
		this.#applyUpdates({updates: fromNewsMessage(response.news), from: id});
		this.#differences.record({id, isEqual: response.digest === this.#table.digest});
		this.#versions.receiveResponse({endpoint, response, sentAtMs});
	}

	#applyUpdates({updates, from}: {readonly updates: MembershipUpdates; readonly from?: InstanceId}): void {
		const records = updates.records.filter(record => !this.#self.isOf(record) && this.#table.applyRecord(record));
		const observations = updates.observations.filter(observation => this.#table.applyObservation(observation));
		if (records.length === 0 && observations.length === 0) {
			return;
		}

		this.#outbox.add({updates: {records, observations}, neighbours: this.#neighbourhood.all(), except: from});
		if (observations.length > 0 || records.some(record => isUrgent(record))) {
			this.#urgent.schedule();
		}

		this.#refreshTimer ??= setTimeout(() => {
			this.#refreshTimer = undefined;
			this.#refresh();
		}, REFRESH_DELAY_MS);
	}

	#reportFindings(): void {
		const observations = this.#findings.take(this.#self.id);
		if (observations.length > 0) {
			this.#applyUpdates({updates: {records: [], observations}});
		}
	}

	/** Applies a new record of this instance and queues it for the neighbours. */
	#announceSelf(record: MemberRecord): void {
		this.#table.applyRecord(record);
		this.#outbox.add({updates: {records: [record], observations: []}, neighbours: this.#neighbourhood.all()});
		this.#refresh();
	}

	#refresh(): void {
		this.#table.classify({self: this.#self.id, nowMs: this.#options.now()});
		this.#list.replace(this.#table.members);
	}
}
