/** Interface for parts that process the records that instances share through the store. */
import type {StoredValue} from '@pomelopick/platform.store';

/** Processes changes of the records whose keys start with a prefix. */
export interface RecordReader {
	/** Prefix of the keys in the store. */
	readonly prefix: string;
	/** Called with each record that was written. */
	readonly write: (value: StoredValue) => void;
	/** Called with each key that was removed. */
	readonly remove?: (key: string) => void;
}
