/** Reads the platform's list of instances at a rate that falls as the list grows, so that the reads of the whole fleet and the bytes that each node receives stay bounded. */
import type {EitherAsync} from 'purify-ts';
import type {Instance} from '@pomelopick/core.types';

/** Time between two reads, in milliseconds for each instance in the list. */
const INTERVAL_PER_INSTANCE_MS = 150;
const MIN_INTERVAL_MS = 1000;
/** Fraction of the interval that is random, so that instances do not read at the same time. */
const JITTER_RATIO = 0.3;

/** Options of {@link ListReader}. */
export interface ListReaderOptions {
	readonly read: () => EitherAsync<{readonly message: string}, readonly Instance[]>;
	readonly onList: (instances: readonly Instance[]) => void;
	readonly onFailure: (message: string) => void;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** Reads the list periodically until it is stopped. After a failed read, the last list stays in use. */
export class ListReader {
	readonly #options: ListReaderOptions;
	#timer: NodeJS.Timeout | undefined;
	#size = 0;
	#isStopped = false;

	constructor(options: ListReaderOptions) {
		this.#options = options;
	}

	/** Reads at once, then at intervals. */
	start(): void {
		void this.#read();
	}

	/** Stops reading. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	async #read(): Promise<void> {
		const {read, onList, onFailure, random} = this.#options;
		const list = await read().run();
		if (this.#isStopped) {
			return;
		}

		list.ifLeft(error => {
			onFailure(error.message);
		}).ifRight(instances => {
			this.#size = instances.length;
			onList(instances);
		});
		const intervalMs = Math.max(MIN_INTERVAL_MS, this.#size * INTERVAL_PER_INSTANCE_MS);
		this.#timer = setTimeout(() => {
			void this.#read();
		}, intervalMs * (1 - (JITTER_RATIO * random())));
	}
}
