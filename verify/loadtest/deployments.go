package loadtest

import "time"

// Guild is the mix of the fibre guild's deployment: survey summaries, chats in Welsh and English, and confirmations,
// in order of their share.
var Guild = Mix{Model: "cynorthwyydd", Backend: "booking", Weights: "w-2026-11",
	Service: "booking-runners", Kinds: []Kind{
		{
			Route:            "survey",
			Share:            0.42,
			Value:            1,
			LatencyTarget:    20 * time.Second,
			ConcurrencyLimit: 0.5,
			PrefixParts:      6,
			PrefixPartTokens: 500,
			UniqueTokens:     600,
			Answer:           120,
			Prefixes:         24,
			Text:             "Write up the survey of the duct and its joints.",
		},
		{
			Route:            "chat",
			Share:            0.31,
			Value:            4,
			LatencyTarget:    4 * time.Second,
			ConcurrencyLimit: 0.4,
			PrefixParts:      3,
			PrefixPartTokens: 400,
			UniqueTokens:     120,
			Answer:           60,
			Prefixes:         12,
			Text:             "Ble mae'r cabinet agosaf, a sut mae cyrraedd ato? Diolch yn fawr iawn, rŵan te.",
		},
		{
			Route:            "confirm",
			Share:            0.27,
			AtMostOnce:       true,
			Value:            10,
			LatencyTarget:    3 * time.Second,
			ConcurrencyLimit: 0.4,
			PrefixParts:      2,
			PrefixPartTokens: 400,
			UniqueTokens:     80,
			Answer:           30,
			Prefixes:         4,
			Text:             "Confirm the slot on Thursday at ten.",
		},
	}}

// Ferries is the mix of the ferry company's deployment: counter queries, reconciliations and rulings, in order of their
// share.
var Ferries = Mix{Model: "tocyn", Backend: "ticketing", Weights: "t-7", Service: "ticket-runners", Kinds: []Kind{
	{
		Route:            "counter",
		Share:            0.40,
		Value:            5,
		LatencyTarget:    4 * time.Second,
		ConcurrencyLimit: 0.4,
		PrefixParts:      3,
		PrefixPartTokens: 400,
		UniqueTokens:     100,
		Answer:           50,
		Prefixes:         10,
		Text:             "What does a car and four cost on the evening crossing?",
	},
	{
		Route:            "reconcile",
		Share:            0.33,
		Value:            1,
		LatencyTarget:    20 * time.Second,
		ConcurrencyLimit: 0.5,
		PrefixParts:      6,
		PrefixPartTokens: 500,
		UniqueTokens:     800,
		Answer:           110,
		Prefixes:         16,
		Text:             "Reconcile the manifest with the tickets.",
	},
	{
		Route:            "ruling",
		Share:            0.27,
		AtMostOnce:       true,
		Value:            8,
		LatencyTarget:    4 * time.Second,
		ConcurrencyLimit: 0.4,
		PrefixParts:      4,
		PrefixPartTokens: 400,
		UniqueTokens:     200,
		Answer:           40,
		Prefixes:         6,
		Text:             "Rule on the refund of the cancelled crossing.",
	},
}}
