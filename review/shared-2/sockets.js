/** Listening on free ports of loopback addresses. */

/** Starts a server to listen on a free port, or on a given one; resolves with the port. */
export async function listen(server, address, port = 0) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, address, resolve);
	});
	return server.address().port;
}

/** Closes a server and its connections. */
export async function closeServer(server) {
	await new Promise(resolve => {
		server.close(resolve);
		server.closeAllConnections?.();
	});
}
