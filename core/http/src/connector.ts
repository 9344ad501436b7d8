/** Connects the sockets of HTTP clients. */
import {buildConnector} from 'undici';
import {ResetDetector} from './reset-detector.js';

/** Options of {@link createConnector}. */
export interface CreateConnectorOptions {
	/** Timeout for establishing a connection, in milliseconds. */
	readonly timeoutMs: number;
}

/** Creates a connector for a client or a pool of the HTTP library, whose sockets report resets as {@link ConnectionResetError}. */
export function createConnector({timeoutMs}: CreateConnectorOptions): buildConnector.connector {
	const connect = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			if (socket) {
				ResetDetector.attach(socket);
			}

			callback(...result);
		});
	};
}
