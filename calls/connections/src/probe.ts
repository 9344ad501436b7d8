/** Health request on one connection. */
import type {Client, Dispatcher} from 'undici';
import {findStatusLineFault, readResponseVersion} from '@pomelopick/core.http';

/** First status of a final response (RFC 9110, section 15). */
const FIRST_FINAL_STATUS = 200;

/** Status and headers of the health response. */
export interface ProbeResponseHead {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** How a server reacted to a health request on a new connection. It may accept connections and be too busy to respond. */
export type HealthState = 'responded' | 'connected' | 'unreachable';

/** Options of {@link probe}. */
export interface ProbeOptions {
	readonly client: Client;
	readonly path: string;
	readonly timeoutMs: number;
	/** Called with the head of the response. Not called if the version is not HTTP/1 or the status is not that of a final response: such a response only shows that the server is reachable. */
	readonly onHead?: (head: ProbeResponseHead) => void;
}

/** Whether a complete response arrived within the timeout; any status counts. */
export async function probe({client, path, timeoutMs, onHead}: ProbeOptions): Promise<boolean> {
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			resolve(false);
		}, timeoutMs);
		const end = (hasResponded: boolean): void => {
			clearTimeout(timer);
			resolve(hasResponded);
		};

		const handler: Dispatcher.DispatchHandler = {
			onRequestStart: ignore,
			onResponseStart(_controller, status, headers) {
				const fault = findStatusLineFault({status, version: readResponseVersion(client)});
				if (fault === undefined && status >= FIRST_FINAL_STATUS) {
					onHead?.({status, headers});
				}
			},
			onResponseData: ignore,
			onResponseEnd() {
				end(true);
			},
			onResponseError() {
				end(false);
			},
		};
		client.dispatch({method: 'GET', path}, handler);
	});
}

function ignore(): void {
	// Only the end of the response matters.
}
