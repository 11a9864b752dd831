//! The description of a Cap'n Proto schema, and its text form.
//!
//! Covers only the parts of the language that the project's schemas use. One description leads to
//! both the readable schema file and the request to the code generator, so that the two cannot
//! differ.

use std::fmt::Write;

/// The type of a field.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FieldType {
    /// A 16-bit number.
    UInt16,
    /// A 64-bit number.
    UInt64,
    /// Text.
    Text,
    /// Bytes.
    Data,
    /// A list of a struct of the schema.
    ListOf(&'static str),
    /// A capability of an interface of the schema.
    Capability(&'static str),
}

impl FieldType {
    fn text(self) -> String {
        match self {
            Self::UInt16 => "UInt16".to_owned(),
            Self::UInt64 => "UInt64".to_owned(),
            Self::Text => "Text".to_owned(),
            Self::Data => "Data".to_owned(),
            Self::ListOf(name) => format!("List({name})"),
            Self::Capability(name) => name.to_owned(),
        }
    }
}

/// A field; its ordinal is its position in the struct.
#[derive(Clone, Copy, Debug)]
pub struct FieldSpec {
    /// The name, in camel case.
    pub name: &'static str,
    /// The type.
    pub kind: FieldType,
    /// The comment on the field.
    pub doc: &'static str,
}

/// A struct. Fields may be added at its end only.
#[derive(Clone, Copy, Debug)]
pub struct StructSpec {
    /// The name.
    pub name: &'static str,
    /// The type id, which never changes.
    pub id: u64,
    /// The comment on the struct.
    pub doc: &'static str,
    /// The fields, in order of their ordinals.
    pub fields: &'static [FieldSpec],
}

/// A method with one struct of parameters and one struct of results.
#[derive(Clone, Copy, Debug)]
pub struct MethodSpec {
    /// The name, in camel case.
    pub name: &'static str,
    /// The struct of the parameters.
    pub params: &'static str,
    /// The struct of the results.
    pub results: &'static str,
    /// The comment on the method.
    pub doc: &'static str,
}

/// An interface. Methods may be added at its end only.
#[derive(Clone, Copy, Debug)]
pub struct InterfaceSpec {
    /// The name.
    pub name: &'static str,
    /// The type id, which never changes.
    pub id: u64,
    /// The comment on the interface.
    pub doc: &'static str,
    /// The methods, in order of their ordinals.
    pub methods: &'static [MethodSpec],
}

/// A schema file.
#[derive(Clone, Copy, Debug)]
pub struct SchemaSpec {
    /// The file's name without its extension.
    pub name: &'static str,
    /// The file id, which never changes.
    pub id: u64,
    /// The comment at the head of the file.
    pub doc: &'static str,
    /// The structs.
    pub structs: &'static [StructSpec],
    /// The interfaces.
    pub interfaces: &'static [InterfaceSpec],
}

impl SchemaSpec {
    /// Returns the id of a struct or interface.
    pub fn id_of(&self, name: &str) -> u64 {
        let structs = self.structs.iter().map(|spec| (spec.name, spec.id));
        let interfaces = self.interfaces.iter().map(|spec| (spec.name, spec.id));
        structs
            .chain(interfaces)
            .find(|(known, _)| *known == name)
            .map(|(_, id)| id)
            .expect("a schema refers to its own types only")
    }

    /// Returns the schema in the Cap'n Proto schema language.
    pub fn text(&self) -> String {
        let mut text = String::new();
        push_doc(&mut text, "", self.doc);
        push_line(&mut text, &format!("\n@{:#018x};", self.id));
        self.structs
            .iter()
            .for_each(|spec| push_struct(&mut text, spec));
        self.interfaces
            .iter()
            .for_each(|spec| push_interface(&mut text, spec));
        text
    }
}

fn push_struct(text: &mut String, spec: &StructSpec) {
    push_line(
        text,
        &format!("\nstruct {} @{:#018x} {{", spec.name, spec.id),
    );
    push_doc(text, "  ", spec.doc);
    for (ordinal, field) in spec.fields.iter().enumerate() {
        let kind = field.kind.text();
        push_line(text, &format!("\n  {} @{ordinal} :{kind};", field.name));
        push_doc(text, "  ", field.doc);
    }
    push_line(text, "}");
}

fn push_interface(text: &mut String, spec: &InterfaceSpec) {
    push_line(
        text,
        &format!("\ninterface {} @{:#018x} {{", spec.name, spec.id),
    );
    push_doc(text, "  ", spec.doc);
    for (ordinal, method) in spec.methods.iter().enumerate() {
        let MethodSpec {
            name,
            params,
            results,
            ..
        } = method;
        push_line(
            text,
            &format!("\n  {name} @{ordinal} {params} -> {results};"),
        );
        push_doc(text, "  ", method.doc);
    }
    push_line(text, "}");
}

fn push_doc(text: &mut String, indent: &str, doc: &str) {
    for line in doc.lines() {
        push_line(text, &format!("{indent}# {line}"));
    }
}

fn push_line(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("writing to a string cannot fail");
}
