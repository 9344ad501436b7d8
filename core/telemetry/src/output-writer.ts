/**
 * Writes to standard output and standard error without ever waiting for who reads them.
 *
 * A write to a full pipe would block: on the main thread the whole process, on a thread of the runtime's pool the end of the
 * process, which waits for that thread. So pipes and sockets are switched to non-blocking writes first.
 */
import {writeSync} from 'node:fs';
import process from 'node:process';
import sonicBoom from 'sonic-boom';

const {SonicBoom} = sonicBoom;

/** Maximum number of bytes buffered for the reader; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Number of buffered bytes that triggers a write, and the maximum time until a write, in milliseconds. */
const FLUSH_BYTES = 8192;
const FLUSH_INTERVAL_MS = 250;
/** Number of times that the last bytes are offered to a full pipe, a tenth of a second apart, before they are dropped. */
const MAX_LAST_TRIES = 3;
const STANDARD_OUTPUT = 1;
const STANDARD_ERROR = 2;

/** A non-blocking writer of lines. */
export interface OutputWriter {
	/** Accepts a line; returns false when it was dropped. */
	readonly write: (line: string) => boolean;
	/** Writes the buffered bytes before the process ends, as far as the reader takes them soon. */
	readonly flush: () => void;
	/** Writes them and a last line; returns false when not all was taken. */
	readonly writeNow: (line: string) => boolean;
}

/** Creates a writer on a file descriptor. */
export function createOutputWriter({descriptor}: {readonly descriptor: number}): OutputWriter {
	stopBlocking(descriptor);
	let isEnding = false;
	let lastTries = 0;
	const output = new SonicBoom({
		fd: descriptor, sync: false, minLength: FLUSH_BYTES, maxLength: MAX_BUFFERED_BYTES, retryEAGAIN() {
			lastTries += Number(isEnding);
			return lastTries <= MAX_LAST_TRIES;
		},
	});
	let isDropped = false;
	output.on('drop', () => {
		isDropped = true;
	});
	// Without a reader there is no way to report the error.
	output.on('error', () => {
		isDropped = true;
	});
	let flushTimer: NodeJS.Timeout | undefined;
	// The periodic flush of the library makes a write also when there are no lines, which wakes a thread each time.
	const scheduleFlush = (): void => {
		flushTimer ??= setTimeout(() => {
			flushTimer = undefined;
			output.flush();
		}, FLUSH_INTERVAL_MS).unref();
	};

	output.on('write', (bytes: number) => {
		// Lines that came while a write waited for the reader were left out by the flush of that time.
		if (bytes > 0) {
			scheduleFlush();
		}
	});
	const flushNow = (): boolean => {
		isEnding = true;
		lastTries = 0;
		try {
			output.flushSync();
			return true;
		} catch {
			return false;
		}
	};

	return {
		write(line) {
			isDropped = false;
			output.write(line);
			scheduleFlush();
			return !isDropped;
		},
		flush() {
			flushNow();
		},
		writeNow(line) {
			isDropped = false;
			output.write(line);
			return !isDropped && flushNow();
		},
	};
}

/** Writes a text to standard error at once; drops it and returns false if nobody takes it. */
export function writeError(text: string): boolean {
	stopBlocking(STANDARD_ERROR);
	try {
		writeSync(STANDARD_ERROR, text);
		return true;
	} catch {
		return false;
	}
}

/** Lets errors of both outputs reach only those who write to them: otherwise the first of them ends the process. */
export function guardOutputs(): void {
	stopBlocking(STANDARD_OUTPUT);
	stopBlocking(STANDARD_ERROR);
}

/** Descriptors that were switched to non-blocking writes. */
const switched = new Set<number>();

/** Makes writes to a pipe or socket non-blocking: the runtime does so when it opens its stream for the descriptor. */
function stopBlocking(descriptor: number): void {
	if (switched.has(descriptor)) {
		return;
	}

	switched.add(descriptor);
	try {
		const stream = descriptor === STANDARD_ERROR ? process.stderr : process.stdout;
		stream.on('error', () => {
			// Whoever writes to the descriptor sees the error itself; without a listener it would end the process.
		});
	} catch {
		// There is no such output.
	}
}
