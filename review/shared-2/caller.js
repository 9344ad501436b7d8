/** Sends one HTTP request on a connection of its own. */
import {randomBytes} from 'node:crypto';
import {request as open} from 'node:http';

/** A new id of a client attempt. */
export const newId = () => randomBytes(8).toString('hex');

/** Resolves with status, headers and body; `status` is 0 when there was no complete answer. Never rejects. */
export async function send({address, method = 'GET', path, headers = {}, body, timeoutMs}) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const request = open({
			host, port, method, path, headers, agent: false,
		}, response => {
			let text = '';
			response.setEncoding('utf8').on('data', piece => {
				text += piece;
			});
			response.once('end', () => {
				resolve({status: response.complete ? response.statusCode : 0, headers: response.headers, body: text});
			}).once('error', error => {
				resolve({
					status: 0, headers: {}, body: '', error: error.code,
				});
			});
		});
		request.setTimeout(timeoutMs, () => {
			request.destroy(new Error('timeout'));
		}).once('error', error => {
			resolve({
				status: 0, headers: {}, body: '', error: error.code ?? error.message,
			});
		});
		request.end(body);
	});
}

/** Sends a request of a client and records it with its answer. */
export async function call({gateway, record, host, path, method = 'GET', deadlineMs = 4000, headers = {}, body, id = newId()}) {
	const sentAtMs = performance.now();
	record.line('sent', {
		request: id, gateway: gateway.name, method, path, headers: Object.keys(headers).length, bytes: body?.length ?? 0,
	});
	const answer = await send({
		address: gateway.fields.listen.front, method, path, body, timeoutMs: deadlineMs, headers: {
			host, 'x-request-id': id, 'x-deadline-ms': String(deadlineMs), ...headers,
		},
	});
	record.line('answered', {
		request: id, gateway: gateway.name, status: answer.status, body: JSON.stringify(answer.body.slice(0, 60)), ...(answer.error && {error: answer.error}),
	});
	return {...answer, id, sentAtMs};
}
