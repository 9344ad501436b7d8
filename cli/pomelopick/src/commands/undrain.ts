import {Command, Option} from 'clipanion';
import {Right} from 'purify-ts';
import {removeDrain} from '../change-set.js';
import {CHANGE_HELP, ChangeCommand} from '../change-command.js';

/** `pomelopick undrain NAME`: ends a drain. */
export class UndrainCommand extends ChangeCommand {
	static override paths = [['undrain']];
	static override usage = Command.Usage({
		category: 'Changes',
		description: 'End a drain',
		details: `NAME is the name of the drain or of its target. ${CHANGE_HELP}`,
		examples: [['End a drain', '$0 undrain muntenia-1 --store 10.0.0.5:8500 --yes']],
	});

	name = Option.String({name: 'NAME'});

	async execute(): Promise<number> {
		return this.change(Right(removeDrain(this.name)));
	}
}
