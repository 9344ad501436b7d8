/** The members as they were judged last, and who is told when they change. */
import type {Instance} from '@pomelopick/core.types';
import type {Member} from './member.js';

/** Told of the members after a change. */
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

	/** Registers a listener for changes of the instances, their states and whether they are alive. */
	onChange(listener: MembersListener): void {
		this.#listeners.push(listener);
	}

	/** Takes members that were judged anew; listeners are told when more than their loads has changed. */
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
