/** One line of a gateway's log, decoded. */
import {z} from 'zod';

/** An attempt at a backend server, as a request's line lists it. */
export interface LoggedAttempt {
	readonly server: string;
	/** Why the server was chosen. */
	readonly why: string;
	/** Time from the arrival of the request to the start of the attempt, in milliseconds. */
	readonly startedAfterMs: number;
	/** Time that the attempt took, in milliseconds; undefined when it was still under way. */
	readonly heldMs?: number | undefined;
	/** How it ended; undefined when it was still under way. */
	readonly outcome?: string | undefined;
}

/** A line; fields that its event does not have are undefined. */
export interface LogLine {
	/** Wall-clock time of the instance that wrote it, in milliseconds since the epoch. */
	readonly atMs: number;
	readonly event: string;
	/** Instance that wrote it. */
	readonly instance: string;
	/** What a change of belief is about. */
	readonly subject?: string | undefined;
	readonly detail?: string | undefined;
	readonly requestId?: string | undefined;
	readonly route?: string | undefined;
	readonly service?: string | undefined;
	readonly object?: string | undefined;
	/** Backend server that the request was sent to last. */
	readonly server?: string | undefined;
	readonly why?: string | undefined;
	readonly tried?: readonly LoggedAttempt[] | undefined;
	readonly outcome?: string | undefined;
	readonly reason?: string | undefined;
	readonly execution?: string | undefined;
	/** Who ended the request before its answer: `caller` or `deadline`. */
	readonly endedBy?: string | undefined;
	readonly viewAgeMs?: number | undefined;
	readonly configurationVersion?: number | undefined;
	readonly retryAfterMs?: number | undefined;
	readonly totalMs?: number | undefined;
	readonly allowedMs?: number | undefined;
	/** Fields that only some events have, such as the counts of a retry budget. */
	readonly others?: Readonly<Record<string, string | number | boolean>> | undefined;
}

const attemptSchema = z.object({
	server: z.string(),
	why: z.string(),
	startedAfterMs: z.number(),
	heldMs: z.number().optional(),
	outcome: z.string().optional(),
});

const lineSchema = z.looseObject({
	time: z.iso.datetime(),
	event: z.string(),
	instance: z.string(),
	subject: z.string().optional(),
	detail: z.string().optional(),
	requestId: z.string().optional(),
	route: z.string().optional(),
	service: z.string().optional(),
	object: z.string().optional(),
	server: z.string().optional(),
	why: z.string().optional(),
	tried: z.array(attemptSchema).optional(),
	outcome: z.string().optional(),
	reason: z.string().optional(),
	execution: z.string().optional(),
	endedBy: z.string().optional(),
	viewAgeMs: z.number().optional(),
	configurationVersion: z.number().optional(),
	retryAfterMs: z.number().optional(),
	totalMs: z.number().optional(),
	allowedMs: z.number().optional(),
});

/**
 * Decodes a line. What a collector of logs puts before the object, such as a host or a time, is passed over.
 *
 * @returns undefined for text that is no line of a gateway's log.
 */
export function decodeLogLine(text: string): LogLine | undefined {
	const start = text.indexOf('{');
	const checked = lineSchema.safeParse(start === -1 ? undefined : parseJson(text.slice(start)));
	if (!checked.success) {
		return undefined;
	}

	const {time, ...fields} = checked.data;
	const others = listOthers(fields);
	return {...fields, atMs: Date.parse(time), ...(Object.keys(others).length > 0 && {others})};
}

/** Simple values of the fields that are not among those that all lines share. */
function listOthers(fields: Readonly<Record<string, unknown>>): Record<string, string | number | boolean> {
	const isSimple = (entry: [string, unknown]): entry is [string, string | number | boolean] => ['string', 'number', 'boolean'].includes(typeof entry[1]);
	return Object.fromEntries(Object.entries(fields).filter(([name]) => !(name in lineSchema.shape)).filter(entry => isSimple(entry)));
}

/** The value of a JSON text; undefined where it is none, which is no fault in a file that others write to as well. */
function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
