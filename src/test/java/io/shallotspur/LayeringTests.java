package io.shallotspur;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;

/**
 * Holds the layering: decisions know no adapter, no clock and no thread.
 */
@AnalyzeClasses(packages = "io.shallotspur", importOptions = ImportOption.DoNotIncludeTests.class)
class LayeringTests {

	private static final String[] DECISIONS = { "io.shallotspur.exc..", "io.shallotspur.outcome..",
			"io.shallotspur.contract..", "io.shallotspur.fleet..", "io.shallotspur.cell..", "io.shallotspur.plain..",
			"io.shallotspur.routing..", "io.shallotspur.admission..", "io.shallotspur.retry..",
			"io.shallotspur.ledger..", "io.shallotspur.quarantine..", "io.shallotspur.resume..",
			"io.shallotspur.order..", "io.shallotspur.membership..", "io.shallotspur.distribution..",
			"io.shallotspur.locate..", "io.shallotspur.record..", "io.shallotspur.route..", "io.shallotspur.gateway..",
			"io.shallotspur.registry..", "io.shallotspur.stage..", "io.shallotspur.queueing..",
			"io.shallotspur.quota..", "io.shallotspur.transit..", "io.shallotspur.pace..", "io.shallotspur.serving.." };

	@ArchTest
	final ArchRule decisionsKnowNoOuterLayer = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage(DECISIONS)
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("io.shallotspur.adapter..", "io.shallotspur.node..", "io.shallotspur.cli..",
				"io.shallotspur.boot..", "io.shallotspur.cfg..", "io.shallotspur.standin..", "io.shallotspur.replay..",
				"io.shallotspur.demo..", "io.shallotspur.platform..", "reactor.netty..", "io.netty..");

	// The platform's names stay in one package, and that package only translates: it
	// knows the ports and types of the gateway, not what decides.
	@ArchTest
	final ArchRule platformOnlyTranslates = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage("io.shallotspur.platform..")
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("io.shallotspur.retry..", "io.shallotspur.cell..", "io.shallotspur.plain..",
				"io.shallotspur.routing..", "io.shallotspur.admission..", "io.shallotspur.quarantine..",
				"io.shallotspur.node..");

	@ArchTest
	final ArchRule onlyTheCommandLineKnowsThePlatform = ArchRuleDefinition.noClasses()
		.that()
		.resideOutsideOfPackages("io.shallotspur.platform..", "io.shallotspur.cli..")
		.should()
		.dependOnClassesThat()
		.resideInAPackage("io.shallotspur.platform..");

	@ArchTest
	final ArchRule decisionsStartNoThread = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage(DECISIONS)
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("java.util.concurrent.locks..", "reactor.core.scheduler..")
		.orShould()
		.dependOnClassesThat()
		.areAssignableTo(Thread.class)
		.orShould()
		.dependOnClassesThat()
		.areAssignableTo(java.util.concurrent.Executor.class);

	@ArchTest
	final ArchRule decisionsReadNoClock = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage(DECISIONS)
		.should()
		.callMethod(System.class, "currentTimeMillis")
		.orShould()
		.callMethod(System.class, "nanoTime")
		.orShould()
		.callMethod(java.time.Instant.class, "now");

	@ArchTest
	final ArchRule portsKnowNoAdapter = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage("io.shallotspur.port..")
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("io.shallotspur.adapter..", "io.shallotspur.node..", "io.shallotspur.cli..",
				"reactor.netty..", "io.netty..");

	@ArchTest
	final ArchRule nodeKnowsNoAdapter = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage("io.shallotspur.node..")
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("io.shallotspur.adapter..", "io.shallotspur.boot..", "io.shallotspur.cli..",
				"reactor.netty..", "io.netty..");

	@ArchTest
	final ArchRule adaptersKnowNoCommandLine = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage("io.shallotspur.adapter..")
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("io.shallotspur.cli..", "io.shallotspur.boot..", "io.shallotspur.demo..",
				"io.shallotspur.replay..");

}
