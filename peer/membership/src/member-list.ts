/** The current members of the fleet, and the listeners for their changes. */
import type {Instance} from '@pomelopick/core.types';
import type {Member} from './member.js';

/** Called with all members after a change. */
export type MembersListener = (members: readonly Member[]) => void;

/** Members of the fleet. */
export class MemberList {
	readonly #listeners: MembersListener[] = [];
	#members: readonly Member[] = [];
	#live: readonly Instance[] | undefined;
	#signature = '';

	/** All known instances. */
	get members(): readonly Member[] {
		return this.#members;
	}

	/** Instances that can take work: alive and not leaving. */
	get live(): readonly Instance[] {
		this.#live ??= this.#members.filter(({alive, instance}) => alive && instance.state === 'live').map(({instance}) => instance);
		return this.#live;
	}

	/** Registers a listener for changes of the instances, of their states and of whether they are alive. */
	onChange(listener: MembersListener): void {
		this.#listeners.push(listener);
	}

	/** Replaces the members; listeners are called unless only loads have changed. */
	replace(members: readonly Member[]): void {
		this.#members = members;
		this.#live = undefined;
		const signature = members.map(member => describe(member)).sort().join('\n');
		if (signature === this.#signature) {
			return;
		}

		this.#signature = signature;
		for (const listener of this.#listeners) {
			listener(members);
		}
	}
}

function describe({instance, incarnation, alive, isolated}: Member): string {
	return `${instance.id} ${incarnation} ${instance.state} ${alive} ${isolated}`;
}
