/** Keeps this instance's view of the fleet by the platform's list and by heartbeats with a few neighbours. */
import type {ConnectRouter} from '@connectrpc/connect';
import {create} from '@bufbuild/protobuf';
import type {Either} from 'purify-ts';
import type {Endpoint, Instance, InstanceId} from '@pomelopick/core.types';
import {ExchangeRequestSchema, ExchangeResponseSchema, MembershipService} from '@pomelopick/peer.protocol';
import type {ExchangeRequest, ExchangeResponse} from '@pomelopick/peer.protocol';
import type {PeerError} from '@pomelopick/peer.transport';
import {DifferenceTracker} from './difference-tracker.js';
import {ListReader} from './list-reader.js';
import {MemberList} from './member-list.js';
import type {MembersListener} from './member-list.js';
import {MemberTable} from './member-table.js';
import type {
	Member, MemberRecord, News, Observation,
} from './member.js';
import type {MembershipOptions, MembershipStatistics} from './membership-options.js';
import {Observer} from './observer.js';
import {Outbox} from './outbox.js';
import {RecentCallers} from './recent-callers.js';
import {
	fromHeldMessage, fromNewsMessage, toHeldMessage, toNewsMessage,
} from './wire.js';

const HEARTBEAT_INTERVAL_MS = 1000;
const HEARTBEAT_TIMEOUT_MS = 1000;
/** Pause before a heartbeat that was not answered is sent again. */
const DOUBT_PAUSE_MS = 250;
/** Delay that gathers news before it is sent ahead of the next heartbeat. */
const URGENT_DELAY_MS = 20;
/** Least time between two sendings ahead of heartbeats, so that a flood of news costs a bounded rate of messages. */
const URGENT_INTERVAL_MS = 200;
/** Delay that gathers news before conclusions are drawn from it. */
const REFRESH_DELAY_MS = 10;
/** A tick that comes this much late shows that the process stood still or has no processor time. */
const STANDSTILL_MS = 300;
/** Time after a standstill in which failed heartbeats are not counted. */
const STANDSTILL_GRACE_MS = 2000;
/** Least change of the load that is told, in percent. */
const LOAD_STEP_PERCENT = 10;
/** Load that is told at once, in percent. */
const FULL_PERCENT = 95;
const PERCENT = 100;

interface HearAnswerOptions {
	readonly endpoint: Endpoint;
	readonly response: ExchangeResponse;
	/** Monotonic time at which the request was sent, in milliseconds. */
	readonly sentAtMs: number;
}

interface TakeAnswerOptions extends HearAnswerOptions {
	readonly id: InstanceId;
}

/** The fleet as this instance sees it. */
export class Membership {
	readonly #options: MembershipOptions;
	readonly #table: MemberTable;
	readonly #observer = new Observer();
	readonly #outbox = new Outbox();
	readonly #reader: ListReader;
	readonly #list = new MemberList();
	readonly #callers = new RecentCallers();
	readonly #inFlight = new Set<InstanceId>();
	readonly #doubtTimers = new Map<InstanceId, NodeJS.Timeout>();
	readonly #differences = new DifferenceTracker();
	readonly #statistics = {exchanges: 0, newsSent: 0, everythingSent: 0};
	#self: MemberRecord | undefined;
	#timer: NodeJS.Timeout | undefined;
	#urgentTimer: NodeJS.Timeout | undefined;
	#refreshTimer: NodeJS.Timeout | undefined;
	#nextUrgentMs = 0;
	#mustAnnounce = false;
	#lastTickMs = 0;
	#graceUntilMs = 0;
	#lastSequence = 0;
	#isStopped = false;

	constructor(options: MembershipOptions) {
		this.#options = options;
		this.#table = new MemberTable({regionOf: options.regionOf});
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
		return {...this.#statistics};
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
		router.service(MembershipService, {exchange: request => this.#answer(request)});
	}

	/** Starts heartbeats as this instance. */
	start(instance: Instance): void {
		this.#self = {
			instance, incarnation: this.#options.wallClock(), leaving: false, loadSequence: 0, loadPercent: 0,
		};
		this.#table.applyRecord(this.#self);
		this.#lastTickMs = this.#options.now();
		this.#refresh();
		this.#reader.start();
		// Instances that start together do not send their heartbeats together.
		this.#timer = setTimeout(() => {
			this.#lastTickMs = this.#options.now();
			this.#tick();
			this.#timer = setInterval(() => {
				this.#tick();
			}, HEARTBEAT_INTERVAL_MS);
		}, HEARTBEAT_INTERVAL_MS * this.#options.random());
	}

	/** Tells the neighbours that this instance leaves. */
	leave(): void {
		if (this.#self) {
			this.#tellOfSelf({...this.#self, leaving: true});
			this.#flush();
		}
	}

	/** Sends the version in force to the neighbours without waiting for the next heartbeat. */
	announceVersion(): void {
		this.#mustAnnounce = true;
		this.#scheduleFlush();
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
		clearTimeout(this.#urgentTimer);
		clearTimeout(this.#refreshTimer);
		for (const timer of this.#doubtTimers.values()) {
			clearTimeout(timer);
		}

		this.#reader.stop();
	}

	#tick(): void {
		const nowMs = this.#options.now();
		if (nowMs - this.#lastTickMs > HEARTBEAT_INTERVAL_MS + STANDSTILL_MS) {
			this.#graceUntilMs = nowMs + STANDSTILL_GRACE_MS;
			this.#observer.forgiveFailures();
		}

		this.#lastTickMs = nowMs;
		this.#tellLoad();
		this.#flush();
		if (this.#table.hasSuspects) {
			this.#refresh();
		}
	}

	/** Sends a heartbeat to each subject that is not still being asked; when it is urgent, only to those that lack news. */
	#flush({isUrgent = false}: {readonly isUrgent?: boolean} = {}): void {
		if (this.#isStopped) {
			return;
		}

		const isForAll = !isUrgent || this.#mustAnnounce;
		this.#mustAnnounce = false;
		const subjects = this.#subjects();
		this.#observer.keepOnly({subjects, isKnown: id => this.#table.describe(id) !== undefined});
		this.#outbox.keepOnly(this.#neighbours());
		for (const id of subjects) {
			const known = this.#table.describe(id);
			if (known && !this.#inFlight.has(id) && (isForAll || this.#outbox.has(id))) {
				void this.#exchange({id, endpoint: known.instance.peers});
			}
		}

		if (subjects.size === 0) {
			for (const endpoint of this.#options.seeds ?? []) {
				void this.#askSeed(endpoint);
			}
		}
	}

	async #exchange({id, endpoint}: {readonly id: InstanceId; readonly endpoint: Endpoint}): Promise<void> {
		const wantsEverything = this.#differences.shouldExchangeEverything({id, nowMs: this.#options.now(), size: this.#table.size});
		const told = this.#outbox.take(id);
		this.#inFlight.add(id);
		const sentAtMs = this.#options.now();
		const answer = await this.#call({endpoint, news: wantsEverything ? this.#table.everything : told, wantsEverything});
		this.#inFlight.delete(id);
		const error = answer.swap().toMaybe().extract();
		if (this.#options.now() >= this.#graceUntilMs) {
			this.#observer.record({subject: id, outcome: error ? (error.code === 'not-sent' ? 'refused' : 'lost') : 'answered'});
		}

		if (error) {
			this.#outbox.putBack({neighbour: id, news: told});
			this.#askAgain(id);
		}

		answer.ifRight(response => {
			this.#outbox.noteArrival(id);
			if (this.#outbox.has(id)) {
				this.#scheduleFlush();
			}

			this.#takeAnswer({
				id, endpoint, response, sentAtMs,
			});
		});
		this.#reportFindings();
	}

	/** Settles a doubt sooner than the next heartbeat would. */
	#askAgain(id: InstanceId): void {
		if (this.#table.isDead(id) || this.#doubtTimers.has(id) || this.#isStopped) {
			return;
		}

		this.#doubtTimers.set(id, setTimeout(() => {
			this.#doubtTimers.delete(id);
			const known = this.#table.describe(id);
			if (known && !this.#inFlight.has(id) && !this.#isStopped) {
				void this.#exchange({id, endpoint: known.instance.peers});
			}
		}, DOUBT_PAUSE_MS));
	}

	async #askSeed(endpoint: Endpoint): Promise<void> {
		const sentAtMs = this.#options.now();
		const answer = await this.#call({endpoint, news: this.#table.everything, wantsEverything: true});
		answer.ifRight(response => {
			this.#takeNews({news: fromNewsMessage(response.news)});
			this.#hearAnswer({endpoint, response, sentAtMs});
		});
	}

	async #call({endpoint, news, wantsEverything}: {readonly endpoint: Endpoint; readonly news: News; readonly wantsEverything: boolean}): Promise<Either<PeerError, ExchangeResponse>> {
		this.#statistics.exchanges += 1;
		this.#statistics.newsSent += news.records.length + news.observations.length;
		this.#statistics.everythingSent += wantsEverything ? 1 : 0;
		const request = create(ExchangeRequestSchema, {
			sender: this.#self!.instance.id, news: toNewsMessage(news), digest: this.#table.digest, configuration: toHeldMessage(this.#options.heldVersion()), wantsEverything,
		});
		return this.#options.clients.call({
			endpoint, service: MembershipService, timeoutMs: HEARTBEAT_TIMEOUT_MS, invoke: async (client, options) => client.exchange(request, options),
		}).run();
	}

	#answer(request: ExchangeRequest): ExchangeResponse {
		const sender = request.sender as InstanceId;
		this.#callers.note({id: sender, nowMs: this.#options.now()});
		this.#takeNews({news: fromNewsMessage(request.news), from: sender});
		const known = this.#table.describe(sender);
		if (known) {
			this.#options.onPeerVersion({endpoint: known.instance.peers, held: fromHeldMessage(request.configuration), isAgeBounded: false});
		}

		const news = request.wantsEverything ? this.#table.everything : this.#outbox.take(sender);
		this.#statistics.newsSent += news.records.length + news.observations.length;
		return create(ExchangeResponseSchema, {news: toNewsMessage(news), digest: this.#table.digest, configuration: toHeldMessage(this.#options.heldVersion())});
	}

	#takeAnswer({id, endpoint, response, sentAtMs}: TakeAnswerOptions): void {
		this.#takeNews({news: fromNewsMessage(response.news), from: id});
		this.#differences.note({id, isEqual: response.digest === this.#table.digest});
		this.#hearAnswer({endpoint, response, sentAtMs});
	}

	/** The answer was made after the request was sent, so that the whole round trip bounds its age. */
	#hearAnswer({endpoint, response, sentAtMs}: HearAnswerOptions): void {
		const held = fromHeldMessage(response.configuration);
		this.#options.onPeerVersion({endpoint, held: {...held, ageMs: held.ageMs + this.#options.now() - sentAtMs}, isAgeBounded: true});
	}

	#takeNews({news, from}: {readonly news: News; readonly from?: InstanceId}): void {
		const isOwn = ({instance}: MemberRecord): boolean => instance.id === this.#self?.instance.id;
		const records = news.records.filter(record => !isOwn(record) && this.#table.applyRecord(record));
		const observations = news.observations.filter(observation => this.#table.applyObservation(observation));
		if (records.length === 0 && observations.length === 0) {
			return;
		}

		this.#outbox.add({news: {records, observations}, neighbours: this.#neighbours(), except: from});
		if (observations.length > 0 || records.some(({leaving, loadSequence, loadPercent}) => leaving || loadSequence === 0 || loadPercent >= FULL_PERCENT)) {
			this.#scheduleFlush();
		}

		this.#refreshTimer ??= setTimeout(() => {
			this.#refreshTimer = undefined;
			this.#refresh();
		}, REFRESH_DELAY_MS);
	}

	#reportFindings(): void {
		const observations: Observation[] = [];
		for (const [subject, {unreachable, refused}] of this.#observer.takeChanges()) {
			this.#lastSequence = Math.max(this.#lastSequence + 1, this.#options.wallClock());
			observations.push({
				subject, subjectIncarnation: this.#table.describe(subject)?.incarnation ?? 0, observer: this.#self!.instance.id, sequence: this.#lastSequence, unreachable, refused,
			});
		}

		if (observations.length > 0) {
			this.#takeNews({news: {records: [], observations}});
		}
	}

	#tellLoad(): void {
		const self = this.#self!;
		const loadPercent = Math.min(PERCENT, Math.round(this.#options.load() * PERCENT));
		const crossesFull = (loadPercent >= FULL_PERCENT) !== (self.loadPercent >= FULL_PERCENT);
		if (crossesFull || Math.abs(loadPercent - self.loadPercent) >= LOAD_STEP_PERCENT) {
			this.#tellOfSelf({...self, loadPercent, loadSequence: self.loadSequence + 1});
		}
	}

	#tellOfSelf(record: MemberRecord): void {
		this.#self = record;
		this.#table.applyRecord(record);
		this.#outbox.add({news: {records: [record], observations: []}, neighbours: this.#neighbours()});
		this.#refresh();
	}

	#subjects(): ReadonlySet<InstanceId> {
		return this.#table.overlay.subjectsOf({observer: this.#self!.instance.id, isAlive: id => !this.#table.isDead(id)});
	}

	/** Subjects, and the instances that observe this one. */
	#neighbours(): ReadonlySet<InstanceId> {
		return new Set([...this.#subjects(), ...this.#callers.list(this.#options.now())]);
	}

	#scheduleFlush(): void {
		const nowMs = this.#options.now();
		this.#urgentTimer ??= setTimeout(() => {
			this.#urgentTimer = undefined;
			this.#nextUrgentMs = this.#options.now() + URGENT_INTERVAL_MS;
			this.#flush({isUrgent: true});
		}, Math.max(URGENT_DELAY_MS, this.#nextUrgentMs - nowMs));
	}

	#refresh(): void {
		this.#table.judge({self: this.#self!.instance.id, nowMs: this.#options.now()});
		this.#list.replace(this.#table.members);
	}
}
