/** The stored form of a shift's ledger: JSON. */
import {
	array, Codec, Either, number, string,
} from 'purify-ts';
import type {InstanceId} from '@pomelopick/core.types';
import type {ShiftLedger} from './shift-ledger.js';

const ledgerCodec = Codec.interface({
	epoch: number,
	configurationVersion: number,
	grants: array(Codec.interface({
		holder: string,
		callsPerSecond: number,
		othersCallsPerSecond: number,
		durationMs: number,
		epoch: number,
	})),
});

/** Writes a ledger as JSON. */
export function encodeLedger(ledger: ShiftLedger): string {
	return JSON.stringify(ledger);
}

/** Left names the field and what was expected of it. */
export function decodeLedger(text: string): Either<string, ShiftLedger> {
	return Either.encase(() => JSON.parse(text) as unknown)
		.mapLeft(({message}) => message)
		.chain(value => ledgerCodec.decode(value))
		.map(ledger => ({...ledger, grants: ledger.grants.map(grant => ({...grant, holder: grant.holder as InstanceId}))}));
}
