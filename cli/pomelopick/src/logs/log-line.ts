/** Decodes lines of a gateway's log. */
import {z} from 'zod';

/** An attempt to send a request to a backend server, as listed in the request's log line. */
export interface LoggedAttempt {
	readonly server: string;
	/** Why the server was chosen. */
	readonly why: string;
	/** Time from the arrival of the request to the start of the attempt, in milliseconds. */
	readonly startedAfterMs: number;
	/** Duration of the attempt, in milliseconds; undefined if it was still in progress. */
	readonly heldMs?: number | undefined;
	/** How the attempt ended; undefined if it was still in progress. */
	readonly outcome?: string | undefined;
}

/** A decoded log line; fields that its event does not have are undefined. */
export interface LogLine {
	/** Wall-clock time of the instance that wrote the line, in milliseconds since the epoch. */
	readonly atMs: number;
	readonly event: string;
	/** Instance that wrote the line. */
	readonly instance: string;
	/** What the event is about, such as a backend server, an instance or a failure domain. */
	readonly subject?: string | undefined;
	readonly detail?: string | undefined;
	readonly requestId?: string | undefined;
	readonly route?: string | undefined;
	readonly service?: string | undefined;
	/** Organisation of the caller; undefined where callers are not authenticated, or on a public route. */
	readonly organisation?: string | undefined;
	readonly object?: string | undefined;
	/** Backend server that the request was last sent to. */
	readonly server?: string | undefined;
	readonly why?: string | undefined;
	readonly tried?: readonly LoggedAttempt[] | undefined;
	readonly outcome?: string | undefined;
	readonly reason?: string | undefined;
	readonly execution?: string | undefined;
	/** What ended the request before it was answered: `caller` or `deadline`. */
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
	organisation: z.string().optional(),
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
 * Decodes a line. A prefix that a log collector puts before the JSON object, such as a host or a time, is skipped.
 *
 * @returns undefined if the text is not a line of a gateway's log.
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

/** Returns the fields that the schema does not list, if they are strings, numbers or booleans. */
function listOthers(fields: Readonly<Record<string, unknown>>): Record<string, string | number | boolean> {
	const isSimple = (entry: [string, unknown]): entry is [string, string | number | boolean] => ['string', 'number', 'boolean'].includes(typeof entry[1]);
	return Object.fromEntries(Object.entries(fields).filter(([name]) => !(name in lineSchema.shape)).filter(entry => isSimple(entry)));
}

/** Parses JSON; returns undefined for other text, which is not an error, since other programs may write to the same file. */
function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
