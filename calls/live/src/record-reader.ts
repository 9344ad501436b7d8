/** Readers of the records that instances share through the store. */
import type {StoredValue} from '@pomelopick/platform.store';

/** Reads the records below a prefix. */
export interface RecordReader {
	readonly prefix: string;
	/** Takes a record that was written. */
	readonly write: (value: StoredValue) => void;
	/** Takes note of a key that was removed. */
	readonly remove?: (key: string) => void;
}
