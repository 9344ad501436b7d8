/** Changes of the live view of this instance. */

/** A change of the live view, for the log. */
export interface ViewChange {
	readonly event:
		| 'routes-in-force'
		| 'routes-refused'
		| 'routes-read-in-part'
		| 'server-changed'
		| 'server-gone'
		| 'server-held'
		| 'server-refused'
		| 'evacuation-begun'
		| 'evacuation-ended'
		| 'instance-joined'
		| 'instance-left'
		| 'instance-refused'
		| 'suspicion-refused'
		| 'rate-limit-refused'
		| 'quota-shard-refused'
		| 'change-not-applied';
	/** What changed: a version, or the name of a backend server, failure domain or instance. */
	readonly subject: string;
	/** Reason for the change. */
	readonly detail: string;
	/** Code of the reason for which an entry or a record was refused; undefined for other events. */
	readonly reason?: string;
	/** Index of the write in the store; 0 without one. */
	readonly storeIndex: number;
}

/** Whether a change is the refusal of an entry or a record, or of a part of one, of which others may write any number. */
export function isRefusal({event}: ViewChange): boolean {
	return event.endsWith('-refused') || event === 'routes-read-in-part' || event === 'change-not-applied';
}
