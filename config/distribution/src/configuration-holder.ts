/** Keeps the active configuration version of this instance. Its number never decreases. */
import type {PublishedConfiguration} from '@pomelopick/config.publishing';
import {digestRoot} from '@pomelopick/config.publishing';

/** The active version and the time at which it was last known to be the newest. */
export interface ConfigurationView {
	readonly configuration: PublishedConfiguration;
	/** Digest of the root, in hexadecimal. */
	readonly digest: string;
	/** Monotonic time at which the key-value service was last known to name this version as the newest, in milliseconds. */
	readonly confirmedAtMs: number;
}

/** Called after a newer version has become active. */
export type ConfigurationListener = (configuration: PublishedConfiguration) => void;

/** Keeps the active version and calls listeners when a newer one replaces it. */
export class ConfigurationHolder {
	#view: ConfigurationView | undefined;
	#newestKnownVersion = 0;
	readonly #listeners: ConfigurationListener[] = [];

	/** The active version; undefined until the first one has been loaded. */
	get view(): ConfigurationView | undefined {
		return this.#view;
	}

	/** Number of the active version; 0 until the first one has been loaded. */
	get version(): number {
		return this.#view?.configuration.root.version ?? 0;
	}

	/** Highest version known to exist; above {@link version} while that version is still being loaded. */
	get newestKnownVersion(): number {
		return Math.max(this.#newestKnownVersion, this.version);
	}

	/** Registers a listener that is called for each newer version. */
	onChange(listener: ConfigurationListener): void {
		this.#listeners.push(listener);
	}

	/** Records that a version exists. */
	recordExistence(version: number): void {
		this.#newestKnownVersion = Math.max(this.#newestKnownVersion, version);
	}

	/** Makes a version active if it is newer than the current one; returns whether it was. */
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

	/** Records that the active version was still the newest at a given time. Earlier times than the recorded one and other versions are ignored. */
	confirm({version, nowMs}: {readonly version: number; readonly nowMs: number}): void {
		if (this.#view?.configuration.root.version === version && nowMs > this.#view.confirmedAtMs) {
			this.#view = {...this.#view, confirmedAtMs: nowMs};
		}
	}
}
