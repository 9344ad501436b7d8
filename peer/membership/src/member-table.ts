/** Merges the platform's list, the instances' own records and the observers' observations into one view of the fleet. */
import {hashText} from '@pomelopick/core.text-hash';
import type {Instance, InstanceId} from '@pomelopick/core.types';
import type {
	Member, MemberRecord, MembershipUpdates, Observation, RegionOf,
} from './member.js';
import {Overlay, regionNameOf} from './overlay.js';
import {classifyMembers} from './member-state.js';
import type {ClassifiableMember, MemberState} from './member-state.js';

const PERCENT = 100;
const DIGEST_BITS = 64;

/** Options of {@link MemberTable}. */
export interface MemberTableOptions {
	readonly regionOf: RegionOf;
}

/** One instance's view of the fleet. */
export class MemberTable {
	readonly #regionOf: RegionOf;
	readonly #records = new Map<InstanceId, MemberRecord>();
	readonly #observations = new Map<InstanceId, Map<InstanceId, Observation>>();
	readonly #suspectedSinceMs = new Map<InstanceId, number>();
	#listed: ReadonlyMap<InstanceId, Instance> = new Map();
	#known: ReadonlyMap<InstanceId, Instance> | undefined;
	#overlay: Overlay | undefined;
	#digest: bigint | undefined;
	#states: ReadonlyMap<InstanceId, MemberState> = new Map();

	constructor({regionOf}: MemberTableOptions) {
		this.#regionOf = regionOf;
	}

	/** All known instances. */
	get members(): readonly Member[] {
		return [...this.#instances().values()].map(instance => this.#toMember(instance));
	}

	/** The complete state that can be sent to another instance. */
	get everything(): MembershipUpdates {
		return {records: [...this.#records.values()], observations: [...this.#observations.values()].flatMap(byObserver => [...byObserver.values()])};
	}

	/** Digest of the complete state without the loads; instances with equal state have equal digests. */
	get digest(): bigint {
		this.#digest ??= this.#computeDigest();
		return this.#digest;
	}

	/** Number of known instances. */
	get size(): number {
		return this.#instances().size;
	}

	/** Whether some instance has votes against it, so that the mere passage of time can change the view. */
	get hasSuspects(): boolean {
		return this.#suspectedSinceMs.size > 0;
	}

	/** Observation rings over all instances; leaving ones are included, since they still need versions and updates. */
	get overlay(): Overlay {
		this.#overlay ??= new Overlay({instances: [...this.#instances().values()], regionOf: this.#regionOf});
		return this.#overlay;
	}

	/** Discards the rings after regions have changed; they are built again when needed. */
	useRegions(): void {
		this.#overlay = undefined;
	}

	/** Returns a known instance and its incarnation. */
	describe(id: InstanceId): {readonly instance: Instance; readonly incarnation: number} | undefined {
		const instance = this.#instances().get(id);
		return instance && {instance, incarnation: this.#records.get(id)?.incarnation ?? 0};
	}

	/** Whether an instance is considered dead. */
	isDead(id: InstanceId): boolean {
		return this.#states.get(id) === 'dead';
	}

	/** Applies the platform's list. Because the list lags, instances missing from it stay while they are alive and not leaving. */
	applyList(instances: readonly Instance[]): void {
		this.#listed = new Map(instances.map(instance => [instance.id, instance]));
		this.#clearDerived();
		for (const [id, record] of this.#records) {
			if (!this.#listed.has(id) && (record.leaving || this.isDead(id))) {
				this.#records.delete(id);
			}
		}

		this.#clearDerived();
		for (const [subject, byObserver] of this.#observations) {
			for (const observer of byObserver.keys()) {
				if (!this.describe(subject) || !this.describe(observer)) {
					byObserver.delete(observer);
				}
			}
		}
	}

	/** Applies a record; returns false when it contains nothing new. */
	applyRecord(record: MemberRecord): boolean {
		const {id} = record.instance;
		const known = this.#records.get(id);
		if (known && record.incarnation < known.incarnation) {
			return false;
		}

		if (known?.incarnation !== record.incarnation) {
			this.#records.set(id, record);
			this.#observations.delete(id);
			this.#clearDerived();
			return true;
		}

		const leaving = known.leaving || record.leaving;
		const newest = record.loadSequence > known.loadSequence ? record : known;
		if (leaving === known.leaving && newest === known) {
			return false;
		}

		this.#records.set(id, {...newest, leaving, instance: {...known.instance, state: leaving ? 'leaving' : 'live'}});
		if (leaving !== known.leaving) {
			this.#clearDerived();
		}

		return true;
	}

	/** Applies an observation; returns false when it contains nothing new. */
	applyObservation(observation: Observation): boolean {
		const {subject, observer, sequence, subjectIncarnation} = observation;
		const byObserver = this.#observations.get(subject) ?? new Map<InstanceId, Observation>();
		const isStale = subjectIncarnation < (this.#records.get(subject)?.incarnation ?? 0);
		if (isStale || sequence <= (byObserver.get(observer)?.sequence ?? 0)) {
			return false;
		}

		byObserver.set(observer, observation);
		this.#digest = undefined;
		this.#observations.set(subject, byObserver);
		return true;
	}

	/** Decides again which instances are alive, from the current state. */
	classify({self, nowMs}: {readonly self: InstanceId; readonly nowMs: number}): void {
		const instances = [...this.#instances().values()];
		this.#clearSuspicionsOfUnknown();
		const votes = new Map(instances.map(({id}) => [id, this.#votesAgainst(id)]));
		for (const [id, against] of votes) {
			this.#recordSuspicion({id, isSuspected: against.length > 0, nowMs});
		}

		this.#states = this.hasSuspects ? classifyMembers({self, nowMs, members: this.#toClassifiable({instances, votes, nowMs})}) : new Map();
	}

	#toClassifiable({instances, votes, nowMs}: {
		readonly instances: readonly Instance[];
		readonly votes: ReadonlyMap<InstanceId, readonly Observation[]>;
		readonly nowMs: number;
	}): readonly ClassifiableMember[] {
		return instances.map(instance => ({
			id: instance.id,
			region: regionNameOf({instance, regionOf: this.#regionOf}),
			votes: votes.get(instance.id) ?? [],
			observers: this.overlay.observersOf(instance.id),
			suspectedSinceMs: this.#suspectedSinceMs.get(instance.id) ?? nowMs,
		}));
	}

	#computeDigest(): bigint {
		let digest = 0n;
		for (const {instance, incarnation, leaving} of this.#records.values()) {
			digest = combine({digest, text: `${instance.id} ${incarnation} ${leaving}`});
		}

		for (const {subject, observer, sequence, unreachable} of this.everything.observations) {
			digest = combine({digest, text: `${subject} ${observer} ${sequence} ${unreachable}`});
		}

		return digest;
	}

	#votesAgainst(id: InstanceId): readonly Observation[] {
		const incarnation = this.#records.get(id)?.incarnation ?? 0;
		return [...this.#observations.get(id)?.values() ?? []]
			.filter(({unreachable, subjectIncarnation, observer}) => unreachable && subjectIncarnation >= incarnation && this.describe(observer) !== undefined);
	}

	#clearSuspicionsOfUnknown(): void {
		for (const id of this.#suspectedSinceMs.keys()) {
			if (!this.describe(id)) {
				this.#suspectedSinceMs.delete(id);
			}
		}
	}

	#recordSuspicion({id, isSuspected, nowMs}: {readonly id: InstanceId; readonly isSuspected: boolean; readonly nowMs: number}): void {
		if (!isSuspected) {
			this.#suspectedSinceMs.delete(id);
		} else if (!this.#suspectedSinceMs.has(id)) {
			this.#suspectedSinceMs.set(id, nowMs);
		}
	}

	#instances(): ReadonlyMap<InstanceId, Instance> {
		this.#known ??= this.#join();
		return this.#known;
	}

	/** Joins the list and the records. The endpoints of a record take precedence; a state in the list applies only if its endpoint is that of the record, hence the same process. */
	#join(): ReadonlyMap<InstanceId, Instance> {
		const instances = new Map(this.#listed);
		for (const [id, {instance}] of this.#records) {
			const listed = this.#listed.get(id);
			const isListedLeaving = listed?.state === 'leaving' && listed.peers.port === instance.peers.port && listed.peers.address === instance.peers.address;
			instances.set(id, isListedLeaving ? {...instance, state: 'leaving'} : instance);
		}

		return instances;
	}

	#clearDerived(): void {
		this.#known = undefined;
		this.#overlay = undefined;
		this.#digest = undefined;
	}

	#toMember(instance: Instance): Member {
		const record = this.#records.get(instance.id);
		const state = this.#states.get(instance.id);
		return {
			instance,
			incarnation: record?.incarnation ?? 0,
			alive: state !== 'dead',
			isolated: state === 'isolated',
			load: (record?.loadPercent ?? 0) / PERCENT,
		};
	}
}

function combine({digest, text}: {readonly digest: bigint; readonly text: string}): bigint {
	return BigInt.asUintN(DIGEST_BITS, digest + hashText(text));
}
