/** Readers of the records that instances share through the store. */
import type {StoredValue} from '@pomelopick/platform.store';

/** Reads the records below a prefix. */
export interface RecordReader {
	readonly prefix: string;
	/** Applies a record that was written. */
	readonly write: (value: StoredValue) => void;
	/** Handles the removal of a key. */
	readonly remove?: (key: string) => void;
}
