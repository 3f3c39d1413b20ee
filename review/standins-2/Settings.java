/** The settings of a small deployment: those of riga-rides as on the page WIRE, for one node. */
final class Settings {
    static final String RIGA_RIDES =
            """
            {"balancers":1,"me":0,"callers":{"marksRetry":true},"classes":[
              {"name":"search","onTimeUs":1200000,"giveUpUs":3000000,"repeat":"safe","importance":2.0,"lateWorth":0.25,
               "group":"all","windowUs":5000000,"stream":false},
              {"name":"book","onTimeUs":1500000,"giveUpUs":5000000,"repeat":"unsafe","importance":3.0,"lateWorth":0.2,
               "group":"all","windowUs":5000000,"stream":false},
              {"name":"pay","onTimeUs":750000,"giveUpUs":3000000,"repeat":"unsafe","importance":10.0,"lateWorth":0.2,
               "group":"all","windowUs":5000000,"stream":false},
              {"name":"post-ride","onTimeUs":1500000,"giveUpUs":7500000,"repeat":"unsafe","importance":5.0,
               "lateWorth":0.25,"group":"all","windowUs":5000000,"stream":false}],
             "costs":{"connection":0.0,"crossZone":0.08,"handshake":0.0,"lateFail":0.046,"membershipMode":0.0,"moves":0.0,
              "origin":0.0,"peer":0.0094,"probe":0.01,"waste":0.2},
             "countedBy":"work","extra":{"warmKeys":true},
             "goal":{"whole":0.6,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.1},
             "kinds":["fast","mid","slow"],"layers":["ride-api"],
             "limits":{"attemptsCap":3,"cancelling":true,"connIdleUs":5000000,"cpuUsPerRequest":0.0,"cpuUsPerS":15000,
              "dialTimeoutUs":250000,"maxOpen":20000,"maxRetryAfterUs":2500000,"parallelTries":true,"peerMessages":true,
              "probes":true,"retryAfter":true,"streamsPerConn":1},
             "membershipMode":"on_request","myZone":"hall-b","overShareWorth":0.2,"quantumUs":5000,
             "realms":[{"name":"vidzeme-brauc","quotaPerS":145.0,"share":0.64},
              {"name":"kurzeme-cels","quotaPerS":82.0,"share":0.36}],
             "report":{"fields":["mean_ms","depth"],"via":"answers"},
             "rules":{"askWithinUs":10000000,"coldFrom":0.12,"coldUs":23000000,"drainGraceUs":500000,"fallUs":2000000,
              "graceToAnswerUs":20000,"overloadFactor":2.5},
             "serviceType":"proxy","tier":0,"weights":"none","zones":["hall-a","hall-b","hall-c","hall-d"]}""";

    private Settings() {}
}
