/** Encodes and decodes a shift's ledger as JSON, its form in the store. */
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

/** Reads a ledger from JSON. Left is a message with the field and the expected value. */
export function decodeLedger(text: string): Either<string, ShiftLedger> {
	return Either.encase(() => JSON.parse(text) as unknown)
		.mapLeft(({message}) => message)
		.chain(value => ledgerCodec.decode(value))
		.map(ledger => ({...ledger, grants: ledger.grants.map(grant => ({...grant, holder: grant.holder as InstanceId}))}));
}
