/** The record that an instance announces about itself. */
import type {Instance, InstanceId} from '@pomelopick/core.types';
import type {MemberRecord} from './member.js';

/** Minimum change of the load that is announced, in percent. */
const LOAD_STEP_PERCENT = 10;
/** Load from which an instance counts as full, which is announced at once, in percent. */
const FULL_PERCENT = 95;
const PERCENT = 100;

/** Whether a record is to be sent without waiting for the next heartbeat. */
export function isUrgent({leaving, loadSequence, loadPercent}: MemberRecord): boolean {
	return leaving || loadSequence === 0 || loadPercent >= FULL_PERCENT;
}

/** The record of this instance; there is none before it has started. */
export class OwnRecord {
	#record: MemberRecord | undefined;

	/** This instance's id. */
	get id(): InstanceId {
		return this.#record!.instance.id;
	}

	/** Whether the instance has started. */
	get hasStarted(): boolean {
		return this.#record !== undefined;
	}

	/** Whether a record is of this instance. */
	isOf({instance}: MemberRecord): boolean {
		return instance.id === this.#record?.instance.id;
	}

	/** Creates the first record; `incarnation` grows from one start of an instance to the next. */
	start({instance, incarnation}: {readonly instance: Instance; readonly incarnation: number}): MemberRecord {
		this.#record = {
			instance, incarnation, leaving: false, loadSequence: 0, loadPercent: 0,
		};
		return this.#record;
	}

	/** Marks the record as leaving and returns it. */
	leave(): MemberRecord {
		this.#record = {...this.#record!, leaving: true};
		return this.#record;
	}

	/** Updates the record with a load from 0 to 1 and returns it; undefined when the change is too small to be announced. */
	withLoad(load: number): MemberRecord | undefined {
		const current = this.#record!;
		const loadPercent = Math.min(PERCENT, Math.round(load * PERCENT));
		const crossesFull = (loadPercent >= FULL_PERCENT) !== (current.loadPercent >= FULL_PERCENT);
		if (!crossesFull && Math.abs(loadPercent - current.loadPercent) < LOAD_STEP_PERCENT) {
			return undefined;
		}

		this.#record = {...current, loadPercent, loadSequence: current.loadSequence + 1};
		return this.#record;
	}
}
