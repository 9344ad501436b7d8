/** A client that refuses what is no response of HTTP/1. */
import type {IncomingHttpHeaders} from 'node:http';
import {Client, DecoratorHandler, errors} from 'undici';
import type {Dispatcher} from 'undici';
import {readResponseVersion} from './response-version.js';
import {findStatusLineFault} from './status-line.js';

/** A client whose requests fail when a response has a version or a status that HTTP/1 does not have; the library accepts some. */
export class CheckedClient extends Client {
	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		return super.dispatch(options, new StatusLineCheck({client: this, handler}));
	}
}

/** The part of the library's {@link DecoratorHandler} that its types leave out. */
declare class PassingHandlerType {
	constructor(handler: Dispatcher.DispatchHandler);
	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders, statusMessage?: string): void;
}

/** A handler that passes everything on to another one. */
const PassingHandler = DecoratorHandler as unknown as typeof PassingHandlerType;

/** Passes a response on once its status line has been checked. */
class StatusLineCheck extends PassingHandler {
	readonly #client: Client;

	constructor({client, handler}: {readonly client: Client; readonly handler: Dispatcher.DispatchHandler}) {
		super(handler);
		this.#client = client;
	}

	override onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders, statusMessage?: string): void {
		const fault = findStatusLineFault({status, version: readResponseVersion(this.#client)});
		if (fault === undefined) {
			super.onResponseStart(controller, status, headers, statusMessage);
		} else {
			controller.abort(new errors.SocketError(fault));
		}
	}
}
