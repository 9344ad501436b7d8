/** Holds the newest configuration version that this instance knows. Versions never go back. */
import type {PublishedConfiguration} from '@pomelopick/config.publishing';

/** The version in force and when this instance last confirmed that it is the newest. */
export interface ConfigurationView {
	readonly configuration: PublishedConfiguration;
	/** Monotonic time, in milliseconds. */
	readonly confirmedAtMs: number;
}

/** Called after a newer version came into force. */
export type ConfigurationListener = (configuration: PublishedConfiguration) => void;

/** Holds the newest version. */
export class ConfigurationHolder {
	#view: ConfigurationView | undefined;
	readonly #listeners: ConfigurationListener[] = [];

	/** The version in force; undefined before the first one arrived. */
	get view(): ConfigurationView | undefined {
		return this.#view;
	}

	/** Registers a listener for newer versions. */
	onChange(listener: ConfigurationListener): void {
		this.#listeners.push(listener);
	}

	/** Takes a version into force when it is newer; answers whether it was. */
	offer({configuration, nowMs}: {readonly configuration: PublishedConfiguration; readonly nowMs: number}): boolean {
		const held = this.#view?.configuration.root.version ?? 0;
		const {version} = configuration.root;
		if (version < held) {
			return false;
		}

		if (version === held) {
			this.confirm({version, nowMs});
			return false;
		}

		this.#view = {configuration, confirmedAtMs: nowMs};
		for (const listener of this.#listeners) {
			listener(configuration);
		}

		return true;
	}

	/** Notes that the store still names the held version as the newest. */
	confirm({version, nowMs}: {readonly version: number; readonly nowMs: number}): void {
		if (this.#view?.configuration.root.version === version) {
			this.#view = {...this.#view, confirmedAtMs: nowMs};
		}
	}
}
