/** Changes of the live view of this instance. */

/** A change of the live view, for the log. */
export interface ViewChange {
	readonly event:
		| 'routes-in-force'
		| 'routes-refused'
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
		| 'rate-limit-refused';
	/** What changed: a version, or the name of a backend server, failure domain or instance. */
	readonly subject: string;
	/** Reason for the change. */
	readonly detail: string;
	/** Index of the write in the store; 0 without one. */
	readonly storeIndex: number;
}
