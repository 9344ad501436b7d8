/** Gives a request to the HTTP library on an open connection. */
import type {Dispatcher} from 'undici';
import {Either, EitherAsync} from 'purify-ts';
import type {ExchangeOptions} from './exchange-options.js';

/** Options of {@link RequestSender}. */
export interface RequestSenderOptions {
	readonly exchange: ExchangeOptions;
	/** Receives the response. */
	readonly handler: Dispatcher.DispatchHandler;
	/** Whether the request was aborted meanwhile. */
	readonly isAborted: () => boolean;
	/** Called when the request could not be handed over. */
	readonly onFailed: (error: Error) => void;
	/** Called when the request may no longer be sent, before it is handed over. */
	readonly onOutdated: () => void;
}

/** Opens the connection of a request, has its server checked if it must be, and hands the request over with headers made then. */
export class RequestSender {
	readonly #options: RequestSenderOptions;
	/** Whether the connection was open when the request was to be sent; if it turns out to be closed before anything was written, it is opened once more. */
	#isReopenable = false;

	constructor(options: RequestSenderOptions) {
		this.#options = options;
	}

	/** Sends the request, once the connection is open. */
	send(): void {
		const {connection} = this.#options.exchange.lease;
		connection.connectsByItself = false;
		if (connection.isOpen) {
			this.#isReopenable = true;
			this.#checkAndDispatch({isNew: false});
		} else {
			void this.#connectAndDispatch();
		}
	}

	/** Sends a request of which nothing was written because its connection had been closed on a new one, with headers made again. Returns false if it may not be. */
	trySendAgain(): boolean {
		const mayReopen = this.#isReopenable && !this.#options.exchange.lease.connection.client.destroyed;
		if (mayReopen) {
			this.#isReopenable = false;
			void this.#connectAndDispatch();
		}

		return mayReopen;
	}

	async #connectAndDispatch(): Promise<void> {
		const opened = await EitherAsync.fromPromise(async () => this.#options.exchange.lease.connection.open());
		this.#continueOnOpen(opened, () => {
			this.#checkAndDispatch({isNew: true});
		});
	}

	/** Calls `next` if the connection was opened and the request was not aborted meanwhile. */
	#continueOnOpen(opened: Either<Error, unknown>, next: () => void): void {
		const {isAborted, onFailed} = this.#options;
		if (!isAborted()) {
			opened.ifLeft(onFailed).ifRight(next);
		}
	}

	/** Gives the request to the library, once the server has been checked on the connection if it must be. */
	#checkAndDispatch({isNew}: {readonly isNew: boolean}): void {
		const checking = this.#options.exchange.checkConnection?.({isNew});
		if (checking) {
			void this.#dispatchAfter(checking);
		} else {
			this.#dispatch();
		}
	}

	/** Gives the request to the library after a check of the server that found nothing against it. */
	async #dispatchAfter(checking: Promise<Either<Error, void>>): Promise<void> {
		const {exchange: {lease: {connection}}, isAborted, onFailed} = this.#options;
		const checked = await checking;
		const mayReopen = this.#isReopenable && !connection.isOpen;
		if (isAborted()) {
			return;
		}

		if (checked.isLeft() && !mayReopen) {
			onFailed(checked.extract());
			return;
		}

		if (checked.isLeft()) {
			// The connection had been closed by the time of the check.
			this.#isReopenable = false;
			await this.#connectAndDispatch();
			return;
		}

		// A server may close a connection after its answer; another one opened at once leads to the same process.
		const opened = await EitherAsync.fromPromise(async () => connection.open());
		this.#continueOnOpen(opened, () => {
			this.#dispatch();
		});
	}

	/** Gives the request to the library. An error that is thrown meanwhile ends this attempt alone. */
	#dispatch(): void {
		const {exchange, handler, onFailed, onOutdated} = this.#options;
		const {lease, method, path, headers, body, mayStart} = exchange;
		if (mayStart?.() === false) {
			onOutdated();
			return;
		}

		Either.encase(() => {
			lease.connection.client.dispatch({
				method, path, headers: headers(), body: body ?? null,
			}, handler);
		}).ifLeft(onFailed);
	}
}
