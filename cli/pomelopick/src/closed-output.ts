/** What a command does when whoever reads its output has gone. */
import type {Writable} from 'node:stream';

/** Exit code that shells give a process which a broken pipe ended: 128 and the number of SIGPIPE. */
const CLOSED_OUTPUT_EXIT_CODE = 141;

/** Options of {@link endWhenOutputCloses}. */
export interface EndWhenOutputClosesOptions {
	readonly output: Writable;
	/** Messages for people; a command goes on without them. */
	readonly messages: Writable;
	readonly exit: (code: number) => void;
}

/** Ends the process without a fault once its output has no reader; other faults of the streams are thrown. */
export function endWhenOutputCloses({output, messages, exit}: EndWhenOutputClosesOptions): void {
	output.on('error', (error: Error & {code?: string}) => {
		throwUnlessClosed(error);
		exit(CLOSED_OUTPUT_EXIT_CODE);
	});
	messages.on('error', throwUnlessClosed);
}

function throwUnlessClosed(error: Error & {code?: string}): void {
	if (error.code !== 'EPIPE') {
		throw error;
	}
}
