/** Parses and checks the query of an explanation. */
import {isIP} from 'node:net';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Refusal, Service} from '@pomelopick/core.types';
import type {ConfigurationView} from '@pomelopick/config.distribution';

/** A checked query. */
export interface ExplainRequest {
	readonly client: string;
	readonly service: Service;
	readonly view: ConfigurationView;
}

/** Options of {@link readExplainRequest}. */
export interface ReadExplainRequestOptions {
	readonly parameters: URLSearchParams;
	readonly view: ConfigurationView | undefined;
}

/** Checks a query. Left is the refusal of an invalid parameter, or of any query while there is no configuration. */
export function readExplainRequest({parameters, view}: ReadExplainRequestOptions): Either<Refusal, ExplainRequest> {
	const client = parameters.get('client') ?? '';
	const name = parameters.get('service') ?? '';
	if (isIP(client) === 0) {
		return refuse({reason: 'bad-request', detail: `client: expected an IP address, found ${JSON.stringify(client)}`});
	}

	if (!view) {
		return refuse({reason: 'configuration-missing', detail: 'this instance has not received a configuration yet'});
	}

	const service = view.configuration.set.services.find(candidate => candidate.name === name);
	return service
		? Right({client, service, view})
		: refuse({reason: 'unknown-service', detail: `service: expected one of ${view.configuration.set.services.map(known => known.name).join(', ')}; found ${JSON.stringify(name)}`});
}

function refuse(refusal: Pick<Refusal, 'reason' | 'detail'>): Either<Refusal, ExplainRequest> {
	return Left({execution: 'not-run', ...refusal});
}
