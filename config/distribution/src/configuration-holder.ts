/** Holds the newest configuration version that this instance knows. Versions never go back. */
import type {PublishedConfiguration} from '@pomelopick/config.publishing';
import {digestRoot} from '@pomelopick/config.publishing';

/** The version in force and when it was last known to be the newest. */
export interface ConfigurationView {
	readonly configuration: PublishedConfiguration;
	/** Digest of the root, in hexadecimal. */
	readonly digest: string;
	/** Monotonic time at which the key-value service was last known to name this version, in milliseconds. */
	readonly confirmedAtMs: number;
}

/** Called after a newer version came into force. */
export type ConfigurationListener = (configuration: PublishedConfiguration) => void;

/** Holds the newest version. */
export class ConfigurationHolder {
	#view: ConfigurationView | undefined;
	#newestKnown = 0;
	readonly #listeners: ConfigurationListener[] = [];

	/** The version in force; undefined before the first one arrived. */
	get view(): ConfigurationView | undefined {
		return this.#view;
	}

	/** Number of the version in force; 0 before the first one arrived. */
	get version(): number {
		return this.#view?.configuration.root.version ?? 0;
	}

	/** Highest version that this instance has heard of; above {@link version} while it is still being fetched. */
	get newestKnown(): number {
		return Math.max(this.#newestKnown, this.version);
	}

	/** Registers a listener for newer versions. */
	onChange(listener: ConfigurationListener): void {
		this.#listeners.push(listener);
	}

	/** Notes that a version exists. */
	hearOf(version: number): void {
		this.#newestKnown = Math.max(this.#newestKnown, version);
	}

	/** Takes a version into force when it is newer; answers whether it was. */
	offer({configuration, nowMs}: {readonly configuration: PublishedConfiguration; readonly nowMs: number}): boolean {
		const {version} = configuration.root;
		if (version <= this.version) {
			return false;
		}

		this.#view = {configuration, digest: digestRoot(configuration.root), confirmedAtMs: nowMs};
		for (const listener of this.#listeners) {
			listener(configuration);
		}

		return true;
	}

	/** Notes that the held version was still the newest at a time; an earlier time than the last changes nothing. */
	confirm({version, nowMs}: {readonly version: number; readonly nowMs: number}): void {
		if (this.#view?.configuration.root.version === version && nowMs > this.#view.confirmedAtMs) {
			this.#view = {...this.#view, confirmedAtMs: nowMs};
		}
	}
}
