import {Command, Option} from 'clipanion';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {CodedError, DrainTarget} from '@pomelopick/core.types';
import {addDrain} from '../change-set.js';
import type {ChangeSet} from '../change-set.js';
import {CHANGE_HELP, ChangeCommand} from '../change-command.js';

const kinds: Readonly<Record<string, DrainTarget['kind']>> = {
	'backend-server': 'backendServer', site: 'site', 'failure-domain': 'failureDomain',
};

/** `pomelopick drain KIND NAME`: drains a backend server, a site or a failure domain. */
export class DrainCommand extends ChangeCommand {
	static override paths = [['drain']];
	static override usage = Command.Usage({
		category: 'Changes',
		description: 'Drain a backend server, a site or a failure domain',
		details: `Its backend servers receive no new calls once the change is active; calls in progress finish. KIND is ${Object.keys(kinds).join(', ')}. ${CHANGE_HELP}`,
		examples: [
			['Preview', '$0 drain failure-domain muntenia-1 --store 10.0.0.5:8500 --instance 10.0.1.7:8082'],
			['Publish', '$0 drain backend-server corrections-3 --store 10.0.0.5:8500 --instance 10.0.1.7:8082 --yes'],
		],
	});

	kind = Option.String({name: 'KIND'});
	target = Option.String({name: 'NAME'});
	name = Option.String('--name', {description: 'Name of the drain; by default, it is named after its target'});

	async execute(): Promise<number> {
		const kind = Object.hasOwn(kinds, this.kind) ? kinds[this.kind] : undefined;
		const change: Either<CodedError, ChangeSet> = kind
			? Right(addDrain({target: toTarget({kind, name: this.target}), name: this.name}))
			: Left({code: 'bad-flag', message: `KIND: expected ${Object.keys(kinds).join(', ')}; found ${JSON.stringify(this.kind)}`});
		return this.change(change);
	}
}

function toTarget(target: {readonly kind: DrainTarget['kind']; readonly name: string}): DrainTarget {
	return target as DrainTarget;
}
