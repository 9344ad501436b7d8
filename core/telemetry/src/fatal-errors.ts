/**
 * What a process does when an error reaches nobody: it says so in one line, stops in order for a short time, and ends with an
 * exit code of its own.
 *
 * Such an error means that the code is wrong; what it left behind is not known. Requests in progress elsewhere get that short
 * time, nothing else is taken on.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import type {LogFields} from './decision-log.js';
import {writeError} from './output-writer.js';
import type {OutputWriter} from './output-writer.js';

/** Exit code after an error that reached nobody. */
export const FATAL_EXIT_CODE = 70;
/** Time after which the process ends, whatever is still in progress, in milliseconds. */
const STOP_TIMEOUT_MS = 1500;
/** Number of further errors during the stop after which the process ends at once. */
const MAX_FURTHER_ERRORS = 10;
/** Maximum lengths of the parts of an error that are logged; the line fits into one write to a pipe. */
const MAX_REASON_LENGTH = 100;
const MAX_MESSAGE_LENGTH = 500;
const MAX_STACK_LENGTH = 2000;

/** What is known of the process at the moment; grows while it starts. */
export interface FatalContext {
	/** Writes the log; standard error is used without one. */
	readonly output?: Pick<OutputWriter, 'writeNow'>;
	/** Fields that name the process. */
	readonly common?: LogFields;
	/** What is in progress. */
	readonly describe?: () => LogFields;
	/** Ends the process's work in order. */
	readonly stop?: () => Promise<void>;
}

/** Reports errors that reach nobody, from its creation on. */
export class FatalErrors {
	#context: Required<Pick<FatalContext, 'describe'>> & FatalContext = {describe: () => ({phase: 'start'})};
	#errorCount = 0;

	constructor() {
		process.on('uncaughtException', (error, origin) => {
			this.#receive({error, origin});
		});
	}

	/** Adds what has become known. */
	use(context: FatalContext): void {
		this.#context = {...this.#context, ...context};
	}

	#receive({error, origin}: {readonly error: unknown; readonly origin: string}): void {
		this.#errorCount += 1;
		if (this.#errorCount > MAX_FURTHER_ERRORS) {
			exit();
		}

		this.#report({error, origin});
		if (this.#errorCount === 1) {
			process.exitCode = FATAL_EXIT_CODE;
			setTimeout(exit, STOP_TIMEOUT_MS);
			void this.#stop();
		}
	}

	#report({error, origin}: {readonly error: unknown; readonly origin: string}): void {
		const {output, common, describe} = this.#context;
		const line = `${JSON.stringify({
			time: new Date().toISOString(),
			event: this.#errorCount === 1 ? 'fatal-error' : 'further-fatal-error',
			...common,
			origin,
			...safely(() => describeError(error)),
			...safely(describe),
			upMs: Math.round(performance.now()),
		})}\n`;
		if (output?.writeNow(line) !== true) {
			writeError(line);
		}
	}

	async #stop(): Promise<void> {
		try {
			await this.#context.stop?.();
		} catch (error) {
			this.#report({error, origin: 'stop'});
		}

		exit();
	}
}

function exit(): void {
	process.exit(FATAL_EXIT_CODE);
}

/** Describes anything that can be thrown, in bounded length. */
function describeError(error: unknown): LogFields {
	const {name, message, stack, code}: NodeJS.ErrnoException = error instanceof Error ? error : new Error(String(error));
	const frames = String(stack).split('\n').filter(line => /^\s+at /u.test(line)).join('\n');
	return {reason: String(code ?? name).slice(0, MAX_REASON_LENGTH), detail: String(message).slice(0, MAX_MESSAGE_LENGTH), stack: frames.slice(0, MAX_STACK_LENGTH)};
}

/** Calls a function whose own error must not hide the one that is reported. */
function safely(describe: () => LogFields): LogFields {
	try {
		return describe();
	} catch {
		return {description: 'could not be described'};
	}
}
