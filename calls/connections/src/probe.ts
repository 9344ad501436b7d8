/** Asks one connection for a sign of life. */
import type {Client, Dispatcher} from 'undici';

/** Head of an answer. */
export interface ProbedHead {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Options of {@link probe}. */
export interface ProbeOptions {
	readonly client: Client;
	readonly path: string;
	readonly timeoutMs: number;
	/** Told of the head of the answer. */
	readonly onHead?: (head: ProbedHead) => void;
}

/** Whether the connection answered within the time; any status counts. */
export async function probe({client, path, timeoutMs, onHead}: ProbeOptions): Promise<boolean> {
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			resolve(false);
		}, timeoutMs);
		const end = (isAnswered: boolean): void => {
			clearTimeout(timer);
			resolve(isAnswered);
		};

		const handler: Dispatcher.DispatchHandler = {
			onRequestStart: ignore,
			onResponseStart(_controller, status, headers) {
				onHead?.({status, headers});
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
	// Only the end of the answer matters.
}
