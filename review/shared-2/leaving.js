/** A server that leaves without reporting `draining`. */

/** Times at which a server begins to work on requests from now on. */
export function watchRuns(server) {
	const runs = [];
	server.onRun = () => {
		runs.push(performance.now());
	};

	return runs;
}

/** Removes the server's entry; the server goes on serving and says in its answers that it leaves. Returns the time of the acknowledgement. */
export function leave({server, store, record}) {
	server.endHeartbeats();
	server.isLeaving = true;
	server.announced = {'server-leaving': '1'};
	const revision = store.remove(`servers/${server.id}`);
	record.line('server', {id: server.id, entry: 'removed', acknowledged: revision});
	return performance.now();
}
