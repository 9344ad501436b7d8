/** Freezes a process for several users at a time. */
import {readFile} from 'node:fs/promises';
import {until} from '@pomelopick/testing.gateway-fleet';
import type {GatewayProcess} from '@pomelopick/testing.gateway-fleet';

/** State of a process in `/proc/PID/stat` that a signal has stopped. */
const STOPPED = 'T';

/** Keeps a process frozen until each of its users has released it. */
export class ProcessFreezer {
	readonly #process: Pick<GatewayProcess, 'processId' | 'signal'>;
	#users = 0;
	readonly #released: Array<() => unknown> = [];

	constructor(process: Pick<GatewayProcess, 'processId' | 'signal'>) {
		this.#process = process;
	}

	/** Freezes the process, and resolves when it runs no more. */
	async freeze(): Promise<void> {
		this.#users += 1;
		this.#process.signal('SIGSTOP');
		await until(async () => await this.#readState() === STOPPED);
	}

	/** Continues the process if this is its last user, and then calls at once what each user passed. */
	release(onContinued: () => unknown = () => undefined): void {
		this.#released.push(onContinued);
		if (this.#released.length < this.#users) {
			return;
		}

		this.#process.signal('SIGCONT');
		this.#users = 0;
		for (const call of this.#released.splice(0)) {
			call();
		}
	}

	async #readState(): Promise<string | undefined> {
		const text = await readFile(`/proc/${this.#process.processId}/stat`, 'utf8');
		return /\) (?<state>\w) /u.exec(text)?.groups!.state;
	}
}
