import {describeFaultCases} from './fault-cases.js';

describeFaultCases({
	title: 'keyed calls while the store fails',
	seed: 62_000,
	cases: [
		{name: 'an outage', steps: [{faults: ['store-outage'], durationMs: 900}]},
		{name: 'the same outage twice', steps: [{faults: ['store-outage'], durationMs: 500}, {faults: ['store-outage'], durationMs: 500}]},
		{name: 'slow answers', steps: [{faults: ['store-slow'], durationMs: 1500}]},
		{name: 'lost answers', steps: [{faults: ['store-answers-lost'], durationMs: 500}, {faults: ['store-answers-lost'], durationMs: 500}]},
		{name: 'one instance cut off the store', steps: [{faults: ['store-path-cut'], durationMs: 1200}]},
		{name: 'silence from the store to one instance', steps: [{faults: ['store-path-silent'], durationMs: 1500}]},
		{name: 'lost answers while an instance is killed', steps: [{faults: ['store-answers-lost', 'entry-killed'], durationMs: 700}]},
		{name: 'an outage while an instance is paused', steps: [{faults: ['store-outage', 'entry-paused'], durationMs: 1200}]},
	],
});
