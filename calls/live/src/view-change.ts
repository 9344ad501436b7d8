/** Changes of what this instance believes. */

/** A change of what this instance believes, for the log. */
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
		| 'suspicion-refused';
	/** What the change concerns: a version, or the name of a server, failure domain or instance. */
	readonly subject: string;
	/** What decided it, and how. */
	readonly detail: string;
	/** Index of the store's write. */
	readonly storeIndex: number;
}
