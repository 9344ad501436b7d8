/** Ends a command when the reader of its output has closed the pipe. */
import type {Writable} from 'node:stream';

/** Exit code that shells report for a process ended by a broken pipe: 128 plus the number of SIGPIPE (13). */
const CLOSED_OUTPUT_EXIT_CODE = 141;

/** Options of {@link endWhenOutputCloses}. */
export interface EndWhenOutputClosesOptions {
	readonly output: Writable;
	/** Stream of messages for people; the command continues if it has no reader. */
	readonly messages: Writable;
	readonly exit: (code: number) => void;
}

/** Exits without an error message once the output has no reader (EPIPE); other errors of the streams are thrown. */
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
