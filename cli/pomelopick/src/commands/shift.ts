import {Command, Option} from 'clipanion';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {CodedError} from '@pomelopick/core.types';
import {removeShift, setShift} from '../change-set.js';
import type {ChangeSet} from '../change-set.js';
import {CHANGE_HELP, ChangeCommand} from '../change-command.js';

/** `pomelopick shift NAME`: adds a shift of traffic, changes its cap or removes it. */
export class ShiftCommand extends ChangeCommand {
	static override paths = [['shift']];
	static override usage = Command.Usage({
		category: 'Changes',
		description: 'Add, change or remove a shift of traffic',
		details: `A new shift needs --service, --from, --to and --cap; for an existing shift, only the given fields change. ${CHANGE_HELP}`,
		examples: [
			['Add a shift', '$0 shift frost --service ledger --from highland --to central --cap 300 --ramp-ms 30000 --store 10.0.0.5:8500 --yes'],
			['Lower its cap', '$0 shift frost --cap 100 --store 10.0.0.5:8500 --yes'],
			['Remove it', '$0 shift frost --remove --store 10.0.0.5:8500 --yes'],
		],
	});

	name = Option.String({name: 'NAME'});
	service = Option.String('--service', {description: 'Name of the service'});
	from = Option.String('--from', {description: 'Region that the traffic leaves'});
	to = Option.String('--to', {description: 'Region that the traffic goes to'});
	cap = Option.String('--cap', {description: 'Maximum calls per second of the whole fleet'});
	rampMs = Option.String('--ramp-ms', {description: 'Time over which the cap is ramped up, in milliseconds'});
	remove = Option.Boolean('--remove', false, {description: 'Remove the shift'});

	async execute(): Promise<number> {
		return this.change(this.#changeSet());
	}

	#changeSet(): Either<CodedError, ChangeSet> {
		if (this.remove) {
			return Right(removeShift(this.name));
		}

		return parseNumber({flag: '--cap', text: this.cap, min: Number.MIN_VALUE}).chain(capCallsPerSecond =>
			parseNumber({flag: '--ramp-ms', text: this.rampMs, min: 0}).map(rampMs => setShift({
				name: this.name, service: this.service, from: this.from, to: this.to, capCallsPerSecond, rampMs,
			})));
	}
}

function parseNumber({flag, text, min}: {readonly flag: string; readonly text: string | undefined; readonly min: number}): Either<CodedError, number | undefined> {
	if (text === undefined) {
		return Right(undefined);
	}

	const value = Number(text);
	return text.trim() !== '' && Number.isFinite(value) && value >= min
		? Right(value)
		: Left({code: 'bad-flag', message: `${flag}: expected a number ${min === 0 ? 'of at least 0' : 'above 0'}, found ${JSON.stringify(text)}`});
}
